#ifndef EGRETLATCH_MEMBERSHIP_PROBER_HPP
#define EGRETLATCH_MEMBERSHIP_PROBER_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/random_source.hpp>

namespace egretlatch::membership
{

/*! @brief Step of a probe. */
enum class ProbeStep {
    /*! @brief Ping the target. */
    direct,
    /*! @brief Send ping requests for the target to other members. */
    indirect,
    /*! @brief Neither a direct nor an indirect ack arrived. */
    failed,
};

/*! @brief Action to carry out for a probe. */
struct ProbeAction
{
    ProbeStep step{};
    DaemonId target;
    std::uint64_t sequence{};
};

/**
 * @brief Failure detector that probes members one at a time, each once per round, in a new random order each round.
 *
 * An unacknowledged probe is repeated, directly and through other members, until it times out. The rounds bound the time to
 * the next probe of each member, and the random order keeps daemons from probing the same member at the same time.
 */
class Prober
{
public:
    /**
     * @brief Creates a prober.
     * @param random Source of random numbers; must outlive it.
     */
    explicit Prober(RandomSource &random);

    /**
     * @brief Determines the actions that are due.
     * @param participants Members to probe, sorted.
     * @param now Current time.
     * @return The actions, in order: repeated direct and indirect pings, or the end of a probe and the start of the next.
     */
    [[nodiscard]] std::vector<ProbeAction> tick(const std::vector<DaemonId> &participants, SteadyTime now);

    /**
     * @brief Records an ack.
     * @param sequence Sequence number of the probe; ignored unless it is the current one.
     */
    void handleAck(std::uint64_t sequence);

    /**
     * @brief Records that the transport cannot reach a member: its current probe goes on with indirect pings only, or it is
     * probed next.
     * @param target The member.
     */
    void noteUnreachable(const DaemonId &target);

    /*! @brief Drops the current probe without a result. */
    void reset();

    /**
     * @brief Allocates a sequence number for a ping outside the rounds.
     * @return A number that no probe uses.
     */
    [[nodiscard]] std::uint64_t nextSequence() noexcept
    {
        return ++m_lastSequence;
    }

private:
    struct Probe
    {
        DaemonId target;
        std::uint64_t sequence{};
        SteadyTime nextRepeat;
        bool isUnreachable{};
    };

    [[nodiscard]] std::optional<DaemonId> chooseTarget(const std::vector<DaemonId> &participants);
    void addNewcomers(const std::vector<DaemonId> &participants);

    RandomSource &m_random;
    /*! @brief Members that remain to be probed in this round, the next one last. */
    std::vector<DaemonId> m_round;
    std::set<DaemonId> m_inRound;
    std::optional<Probe> m_probe;
    std::optional<SteadyTime> m_nextProbe;
    std::uint64_t m_lastSequence{};
};

} // namespace egretlatch::membership

#endif
