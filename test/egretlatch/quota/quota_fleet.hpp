#ifndef TEST_EGRETLATCH_QUOTA_QUOTA_FLEET_HPP
#define TEST_EGRETLATCH_QUOTA_QUOTA_FLEET_HPP

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <egretlatch/quota/coordinator.hpp>
#include <egretlatch/quota/fleet_view.hpp>
#include <egretlatch/quota/ledger.hpp>

namespace quota_test
{

/*! @brief Daemons that share the quota of one account over a network with delays, losses, partitions, pauses and restarts. */
class QuotaFleet
{
public:
    struct Options
    {
        std::size_t daemons{8};
        egretlatch::quota::Limit limit{.ratePerSecond = 50.0, .burst = 50.0};
        egretlatch::quota::Rules rules;
        egretlatch::Duration delay{std::chrono::milliseconds{2}};
        double loss{};
        std::uint64_t seed{1};
    };

    explicit QuotaFleet(const Options &options);

    /*! @brief Sends one request of the account to a daemon; returns whether it was admitted. */
    bool request(std::size_t daemon);

    /*! @brief Lets time pass in steps, in which messages arrive and daemons report. */
    void advance(egretlatch::Duration span);

    /*! @brief Divides the daemons into two groups that do not reach each other, the first `size` in one; 0 joins them again. */
    void partition(std::size_t size);

    /*! @brief Restarts a daemon, which loses its state and meets the others after a while. */
    void restart(std::size_t daemon);

    /*! @brief Makes a daemon stand still for a time: it gets its messages after that. */
    void pause(std::size_t daemon, egretlatch::Duration span);

    void setLimit(const egretlatch::quota::Limit &limit)
    {
        m_options.limit = limit;
    }

    [[nodiscard]] bool isPaused(const std::size_t daemon) const
    {
        return m_now < m_daemons[daemon].pausedUntil;
    }

    [[nodiscard]] std::size_t admitted() const
    {
        return m_admitted.size();
    }

    /*! @brief Returns the largest number of requests admitted in any window. */
    [[nodiscard]] std::size_t largestWindow() const;

    /*! @brief Returns the messages sent so far. */
    [[nodiscard]] std::size_t messages() const
    {
        return m_messages;
    }

private:
    struct Daemon
    {
        egretlatch::DaemonId id;
        std::unique_ptr<egretlatch::quota::Ledger> ledger;
        std::unique_ptr<egretlatch::quota::Coordinator> coordinator;
        egretlatch::quota::FleetView view;
        std::uint64_t lastReport{};
        std::uint64_t incarnation{};
        egretlatch::SteadyTime pausedUntil;
        /*! @brief Time from which it sees the daemons that it can reach. */
        egretlatch::SteadyTime meetsAt;
    };

    struct Message
    {
        egretlatch::SteadyTime arrivesAt;
        std::size_t from{};
        std::size_t to{};
        std::uint64_t incarnation{};
        egretlatch::quota::UseReport report;
        egretlatch::quota::GrantReply reply;
        bool isReply{};
    };

    void reset(Daemon &daemon);
    void send(Message message);
    void sendReport(std::size_t from, egretlatch::quota::AccountUse use);
    void deliver(const Message &message);
    void handleReport(const Message &message);
    void updateViews();
    [[nodiscard]] bool areConnected(std::size_t left, std::size_t right) const;
    [[nodiscard]] std::size_t indexOf(const egretlatch::DaemonId &id) const;

    Options m_options;
    std::mt19937_64 m_random;
    egretlatch::SteadyTime m_now{std::chrono::hours{1}};
    std::vector<Daemon> m_daemons;
    std::deque<Message> m_inFlight;
    std::vector<egretlatch::SteadyTime> m_admitted;
    std::size_t m_partition{};
    egretlatch::SteadyTime m_partitionSeenAt;
    std::size_t m_messages{};
};

} // namespace quota_test

#endif
