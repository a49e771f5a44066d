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

/*! @brief What the prober wants done. */
enum class ProbeStep {
    /*! @brief Ping the target. */
    direct,
    /*! @brief Ask other members to ping the target. */
    indirect,
    /*! @brief The target did not answer in any way. */
    failed,
};

/*! @brief A step of a probe. */
struct ProbeAction
{
    ProbeStep step{};
    DaemonId target;
    std::uint64_t sequence{};
};

/**
 * @brief Probes one member after the other, each once a round, each round in an order of its own.
 *
 * A probe that is not answered is repeated, directly and by helpers, until its time is up. The random order bounds the time to the next probe of each member
 * and keeps daemons from probing the same one at once.
 */
class Prober
{
public:
    /**
     * @brief Builds a prober.
     * @param random Source of random numbers; must outlive it.
     */
    explicit Prober(RandomSource &random);

    /**
     * @brief Lets time pass.
     * @param participants Members to probe.
     * @param now Current time.
     * @return What to do now; several steps only where a probe ends and the next begins.
     */
    [[nodiscard]] std::vector<ProbeAction> tick(const std::vector<DaemonId> &participants, SteadyTime now);

    /**
     * @brief Takes an answer.
     * @param sequence The probe that it is for; an old one changes nothing.
     */
    void handleAck(std::uint64_t sequence);

    /**
     * @brief Takes it that the transport cannot reach a member, so that waiting for its direct answer is of no use.
     * @param target The member.
     */
    void noteUnreachable(const DaemonId &target);

    /*! @brief Drops the probe at hand without a verdict. */
    void reset();

    /**
     * @brief Gives a number for a ping outside the rounds.
     * @return A number that no probe has.
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
    /*! @brief Members still to be probed in this round, the next one last. */
    std::vector<DaemonId> m_round;
    std::set<DaemonId> m_inRound;
    std::optional<Probe> m_probe;
    std::optional<SteadyTime> m_nextProbe;
    std::uint64_t m_lastSequence{};
};

} // namespace egretlatch::membership

#endif
