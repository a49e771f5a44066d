#ifndef EGRETLATCH_MEMBERSHIP_STATE_PULL_HPP
#define EGRETLATCH_MEMBERSHIP_STATE_PULL_HPP

#include <cstdint>
#include <optional>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/random_source.hpp>

namespace egretlatch::membership
{

/*! @brief Ask a member for a part of its state. */
struct PullRequest
{
    DaemonId from;
    std::uint32_t page{};
};

/**
 * @brief Fetches the state of one other member now and then, part by part at a bounded rate.
 *
 * It repairs what the spread of news missed, and is how a newcomer learns the fleet.
 */
class StatePull
{
public:
    /**
     * @brief Builds it; the first pull is due at once.
     * @param random Source of random numbers; must outlive it.
     */
    explicit StatePull(RandomSource &random);

    /**
     * @brief Says whether a new pull should begin.
     * @param now Current time.
     * @return True if none is under way and the time has come.
     */
    [[nodiscard]] bool isDue(SteadyTime now) const;

    /**
     * @brief Says whether a pull from a member that is known to differ may begin.
     * @param now Current time.
     * @return True if none is under way and the last one is some time ago.
     */
    [[nodiscard]] bool mayPullBack(SteadyTime now) const;

    /**
     * @brief Begins a pull.
     * @param from The member to ask.
     * @param now Current time.
     */
    void begin(const DaemonId &from, SteadyTime now);

    /**
     * @brief Lets time pass.
     * @param now Current time.
     * @return The part to ask for now, if any.
     */
    [[nodiscard]] std::optional<PullRequest> tick(SteadyTime now);

    /**
     * @brief Takes a part.
     * @param from Who sent it.
     * @param page Which part it is; an unexpected one changes nothing.
     * @param hasMore Whether further parts follow.
     * @param now Current time.
     */
    void handleReply(const DaemonId &from, std::uint32_t page, bool hasMore, SteadyTime now);

    /*! @brief Takes it that the pull under way brought something unknown, so that the next one may bring more. */
    void noteNewState() noexcept;

private:
    struct Pull
    {
        DaemonId from;
        std::uint32_t page{};
        SteadyTime nextRequest;
        std::optional<SteadyTime> asked;
    };

    void end(SteadyTime now);

    RandomSource &m_random;
    std::optional<Pull> m_pull;
    /*! @brief Pulls that follow one another soon; some at the start, when the first member asked may know as little. */
    int m_fastPullsLeft{3};
    SteadyTime m_nextPull;
    SteadyTime m_lastBegin;
};

} // namespace egretlatch::membership

#endif
