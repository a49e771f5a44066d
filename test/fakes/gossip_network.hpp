#ifndef TEST_FAKES_GOSSIP_NETWORK_HPP
#define TEST_FAKES_GOSSIP_NETWORK_HPP

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include <fakes/counting_metrics.hpp>
#include <fakes/manual_clock.hpp>

#include <egretlatch/core/random_source.hpp>
#include <egretlatch/membership/gossip.hpp>

namespace fakes
{

/*! @brief One daemon's gossip, with what surrounds it. */
struct GossipNode
{
    GossipNode(egretlatch::membership::Member self, std::uint64_t seed, std::vector<egretlatch::membership::Contact> contacts);

    egretlatch::membership::Member initialSelf;
    egretlatch::SeededRandom random;
    egretlatch::membership::Roster roster;
    CountingMetrics metrics;
    egretlatch::membership::Gossip gossip;
    bool isRunning{true};
    std::uint64_t bytesSent{};
    std::uint64_t messagesSent{};
    std::vector<egretlatch::membership::Rumour> rumours;
};

/*! @brief Several gossip instances on a network that delays, and loses, by a seeded source. */
class GossipNetwork
{
public:
    using Partition = std::function<bool(std::size_t from, std::size_t to)>;

    /**
     * @brief Starts nodes `d000`, `d001`, ..., all with the first three as contacts.
     * @param count Number of nodes.
     * @param seed Seed of the network and, with its number, of each node.
     */
    GossipNetwork(std::size_t count, std::uint64_t seed);

    /**
     * @brief Starts one more node.
     * @return Its number.
     */
    std::size_t add();

    /**
     * @brief Starts a node anew, under its id and with a higher incarnation.
     * @param index Its number.
     */
    void replace(std::size_t index);

    /**
     * @brief Starts a node anew, under its id and with a lower incarnation, as a clock that was set back brings about.
     * @param index Its number.
     */
    void startWithClockSetBack(std::size_t index);

    /**
     * @brief Stops a node, or wakes it: what was sent to it meanwhile is delivered then.
     * @param index Its number.
     * @param isRunning Whether it runs.
     */
    void setRunning(std::size_t index, bool isRunning);

    /**
     * @brief Ends a node for good.
     * @param index Its number.
     */
    void kill(std::size_t index);

    void setLoss(const double share)
    {
        m_loss = share;
    }

    /**
     * @brief Cuts links.
     * @param cut Says which; null for none.
     */
    void setPartition(Partition cut)
    {
        m_partition = std::move(cut);
    }

    /**
     * @brief Lets time pass.
     * @param span How much.
     */
    void run(egretlatch::Duration span);

    /**
     * @brief Lets time pass until something holds.
     * @param holds The condition, looked at every 50 ms of simulated time.
     * @param limit Longest time.
     * @return The time that it took, or nothing if it never held.
     */
    [[nodiscard]] std::optional<egretlatch::Duration> runUntil(const std::function<bool()> &condition, egretlatch::Duration limit);

    /**
     * @brief Looks at a member through another's eyes.
     * @param observer Number of the node that looks.
     * @param subject Number of the node looked at.
     * @return The state that the observer sees; gone if it knows no such member.
     */
    [[nodiscard]] egretlatch::membership::MemberState observedState(std::size_t observer, std::size_t subject) const;

    /**
     * @brief Says whether all running nodes see a node in a state.
     * @param subject Number of the node looked at.
     * @param state The state.
     * @return True if they all do.
     */
    [[nodiscard]] bool allSee(std::size_t subject, egretlatch::membership::MemberState state) const;

    /**
     * @brief Says whether all running nodes see all running nodes serving.
     * @return True if they do.
     */
    [[nodiscard]] bool hasConverged() const;

    [[nodiscard]] GossipNode &node(const std::size_t index)
    {
        return *m_nodes[index];
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_nodes.size();
    }

    [[nodiscard]] egretlatch::SteadyTime now() const
    {
        return m_clock.steadyNow();
    }

    /*! @brief Sets the counts of bytes and messages to zero. */
    void resetCounts();

    /**
     * @brief Gives the bytes that all nodes sent.
     * @return Bytes of encoded messages.
     */
    [[nodiscard]] std::uint64_t bytesSent() const;

private:
    struct Delivery
    {
        egretlatch::SteadyTime at;
        std::uint64_t number{};
        std::size_t from{};
        std::size_t to{};
        egretlatch::Incarnation incarnation;
        egretlatch::membership::GossipMessage message;

        friend bool operator>(const Delivery &left, const Delivery &right)
        {
            return std::tie(left.at, left.number) > std::tie(right.at, right.number);
        }
    };

    void start(std::size_t index, std::uint64_t incarnation);
    [[nodiscard]] std::unique_ptr<GossipNode> makeNode(std::size_t index, std::uint64_t incarnation);
    void collect(std::size_t index);
    void deliverDue();
    void step();

    std::uint64_t m_seed;
    egretlatch::SeededRandom m_random;
    ManualClock m_clock;
    std::vector<std::unique_ptr<GossipNode>> m_nodes;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> m_deliveries;
    std::vector<std::vector<Delivery>> m_undelivered;
    std::set<std::size_t> m_dead;
    double m_loss{};
    Partition m_partition;
    std::uint64_t m_lastNumber{};
};

} // namespace fakes

#endif
