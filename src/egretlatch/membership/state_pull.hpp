#ifndef EGRETLATCH_MEMBERSHIP_STATE_PULL_HPP
#define EGRETLATCH_MEMBERSHIP_STATE_PULL_HPP

#include <cstdint>
#include <optional>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/random_source.hpp>

namespace egretlatch::membership
{

/*! @brief Request to a member for a page of its state. */
struct PullRequest
{
    DaemonId from;
    std::uint32_t page{};
};

/**
 * @brief Anti-entropy: periodically fetches the state of one other member, page by page at a bounded rate.
 *
 * It repairs updates that dissemination missed, and gives a new daemon the state of the fleet.
 */
class StatePull
{
public:
    /**
     * @brief Creates a state pull; the first pull is due at once.
     * @param random Source of random numbers; must outlive it.
     */
    explicit StatePull(RandomSource &random);

    /**
     * @brief Checks if a new pull is due.
     * @param now Current time.
     * @return True if no pull is in progress and the interval has elapsed.
     */
    [[nodiscard]] bool isDue(SteadyTime now) const;

    /**
     * @brief Checks if a pull from a member with a different digest may begin, outside the regular interval.
     * @param now Current time.
     * @return True if no pull is in progress and the last one began at least 10 s ago.
     */
    [[nodiscard]] bool mayPullBack(SteadyTime now) const;

    /**
     * @brief Begins a pull.
     * @param from The member to pull from.
     * @param now Current time.
     */
    void begin(const DaemonId &from, SteadyTime now);

    /**
     * @brief Determines the request that is due, and ends a pull that was not answered in time.
     * @param now Current time.
     * @return The page to request, if any.
     */
    [[nodiscard]] std::optional<PullRequest> tick(SteadyTime now);

    /**
     * @brief Records the receipt of a page.
     * @param from Member that sent it.
     * @param page Number of the page; ignored unless it is the requested one.
     * @param hasMore True if further pages follow.
     * @param now Current time.
     */
    void handleReply(const DaemonId &from, std::uint32_t page, bool hasMore, SteadyTime now);

    /*! @brief Records that the current pull returned new state, so that the next one follows soon. */
    void noteNewState() noexcept;

private:
    struct Pull
    {
        DaemonId from;
        std::uint32_t page{};
        SteadyTime nextRequest;
        std::optional<SteadyTime> requestedAt;
    };

    void end(SteadyTime now);

    RandomSource &m_random;
    std::optional<Pull> m_pull;
    /*! @brief Pulls left at the shorter interval; some at the start, since the first member asked may know as little as this daemon. */
    int m_fastPullsLeft{3};
    SteadyTime m_nextPull;
    SteadyTime m_lastBegin;
};

} // namespace egretlatch::membership

#endif
