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

/*! @brief Gossip instance of one daemon with its dependencies, counters and received rumours. */
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
    std::vector<egretlatch::membership::IsolationChange> isolationChanges;
};

/*! @brief Simulated network of gossip instances with seeded random delay and loss. */
class GossipNetwork
{
public:
    using Partition = std::function<bool(std::size_t from, std::size_t to)>;

    /**
     * @brief Starts nodes `d000`, `d001`, ..., all with the first three as contacts.
     * @param count Number of nodes.
     * @param seed Seed of the network; the seed of each node is derived from it, the node's number and its incarnation.
     */
    GossipNetwork(std::size_t count, std::uint64_t seed);

    /**
     * @brief Starts one more node.
     * @return Its number.
     */
    std::size_t add();

    /**
     * @brief Restarts a node under the same id with a higher incarnation.
     * @param index Its number.
     */
    void replace(std::size_t index);

    /**
     * @brief Restarts a node under the same id with a lower incarnation, as after its clock was set back.
     * @param index Its number.
     */
    void startWithClockSetBack(std::size_t index);

    /**
     * @brief Pauses or resumes a node; messages sent to a paused node are delivered when it resumes.
     * @param index Its number.
     * @param isRunning True to resume it, false to pause it.
     */
    void setRunning(std::size_t index, bool isRunning);

    /**
     * @brief Stops a node without notice; messages to it are dropped.
     * @param index Its number.
     */
    void kill(std::size_t index);

    void setLoss(const double share)
    {
        m_loss = share;
    }

    /**
     * @brief Sets the links that drop all messages.
     * @param partition Returns true for a link that drops all messages; null for no partition.
     */
    void setPartition(Partition partition)
    {
        m_partition = std::move(partition);
    }

    /**
     * @brief Advances simulated time.
     * @param span Duration.
     */
    void run(egretlatch::Duration span);

    /**
     * @brief Advances simulated time until a condition is true.
     * @param condition The condition, checked every 50 ms of simulated time.
     * @param limit Maximum duration.
     * @return The time that it took, or nothing if the limit was reached.
     */
    [[nodiscard]] std::optional<egretlatch::Duration> runUntil(const std::function<bool()> &condition, egretlatch::Duration limit);

    /**
     * @brief Returns the state that one node attributes to another.
     * @param observer Number of the observing node.
     * @param subject Number of the observed node.
     * @return The state in the observer's roster; gone if the subject is unknown there.
     */
    [[nodiscard]] egretlatch::membership::MemberState observedState(std::size_t observer, std::size_t subject) const;

    /**
     * @brief Checks if all other running nodes see a node in a state.
     * @param subject Number of the observed node.
     * @param state The state.
     * @return True if they all do.
     */
    [[nodiscard]] bool allSee(std::size_t subject, egretlatch::membership::MemberState state) const;

    /**
     * @brief Checks if all running nodes see all running nodes as serving.
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

    /*! @brief Resets the counts of sent bytes and messages. */
    void resetCounts();

    /**
     * @brief Returns the number of bytes sent by all nodes.
     * @return Total size of the encoded messages, in bytes.
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
