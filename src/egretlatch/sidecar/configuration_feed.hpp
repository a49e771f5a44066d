#ifndef EGRETLATCH_SIDECAR_CONFIGURATION_FEED_HPP
#define EGRETLATCH_SIDECAR_CONFIGURATION_FEED_HPP

#include <cstdint>
#include <functional>
#include <optional>

#include <egretlatch/configuration/poll_schedule.hpp>
#include <egretlatch/core/logger.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/platform/store_wire.hpp>
#include <egretlatch/sidecar/store_client.hpp>

namespace egretlatch::sidecar
{

/*! @brief Receivers of what a ConfigurationFeed reads. */
struct ConfigurationReceivers
{
    /*! @brief Receives each document as the operators wrote it; returns false if it cannot be used. */
    std::function<bool(const QByteArray &document)> onDocument;
    /*! @brief Receives each reading of the store's clock. */
    std::function<void(const store::ClockReading &reading)> onClock;
    /*! @brief Receives each time of the store's clock up to which no newer document was accepted than those received. */
    std::function<void(store::StoreTime at)> onProof;
    /*! @brief Called when an answer has been passed on; calls ConfigurationFeed::update() with the conditions that it has changed. */
    std::function<void()> onAnswered;
};

/**
 * @brief Follows the operators' configuration by the calls that a `configuration::PollSchedule` plans.
 *
 * At most one call is pending; one that may have been lost is cancelled for the next.
 */
class ConfigurationFeed
{
public:
    /**
     * @brief Builds a feed without a reason to read.
     * @param client Sends the calls; must outlive it.
     * @param clock Source of time; must outlive it.
     * @param random Source of jitter; must outlive it.
     * @param logger Receives a line when reading begins or ends, and when a poll is given up; must outlive it.
     * @param receivers Receivers of what it reads.
     */
    ConfigurationFeed(StoreClient &client, const Clock &clock, RandomSource &random, const Logger &logger, ConfigurationReceivers receivers);

    /**
     * @brief Sends the next call if one is due; to be called a few times a second.
     * @param conditions Present conditions; a change of the reason is logged.
     * @param confirmedAge Age of the latest confirmation that the daemon knows, for the log.
     */
    void update(const configuration::PollConditions &conditions, std::optional<Duration> confirmedAge);

    /**
     * @brief Returns the time at which the store last confirmed that nothing newer than the documents passed on was accepted.
     * @return The time; nothing if the last call failed.
     */
    [[nodiscard]] std::optional<SteadyTime> confirmedAt() const
    {
        return m_schedule.confirmedAt(m_clock.steadyNow());
    }

private:
    void sendNext();
    void handleAnswer(const http::Outcome &result, BootTime sentAt);
    void passOn(const platform::ConfigurationPage &page, BootTime sentAt);

    StoreClient &m_client;
    const Clock &m_clock;
    const Logger &m_logger;
    ConfigurationReceivers m_receivers;
    configuration::PollSchedule m_schedule;
    configuration::PollConditions m_conditions;
    /*! @brief Position in the store's history up to which everything was read. */
    std::uint64_t m_position{};
    /*! @brief The latest call. */
    http::ClientRequestId m_call;
    /*! @brief Set while the newest document that was read cannot be used, so that nothing is proven. */
    bool m_isNewestUnusable{};
};

} // namespace egretlatch::sidecar

#endif
