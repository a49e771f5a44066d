#ifndef EGRETLATCH_STORE_BACKOFF_HPP
#define EGRETLATCH_STORE_BACKOFF_HPP

#include <algorithm>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/random_source.hpp>

namespace egretlatch::store
{

/*! @brief Waits between attempts: doubled with each failure up to a bound, each drawn from the upper half. */
class Backoff
{
public:
    /**
     * @brief Builds a backoff without failures.
     * @param first Longest wait after the first failure.
     * @param most Longest wait of all.
     */
    Backoff(const Duration initialWait, const Duration maxWait)
        : m_initialWait{initialWait}
        , m_maxWait{maxWait}
        , m_next{initialWait}
    {
    }

    /**
     * @brief Gives the wait after one more failure.
     *
     * All daemons see an outage begin and end at the same time; the jitter keeps them from coming back together.
     * @param random Source of the jitter.
     * @return Between half of the longest wait now and all of it.
     */
    [[nodiscard]] Duration next(RandomSource &random)
    {
        const Duration upperBound = m_next;
        m_next = std::min(m_maxWait, m_next * 2);
        const Duration half = upperBound / 2;
        return half + Duration{static_cast<Duration::rep>(random.below(static_cast<std::uint64_t>((upperBound - half).count()) + 1))};
    }

    /*! @brief Starts again from the first wait, after a success. */
    void reset() noexcept
    {
        m_next = m_initialWait;
    }

private:
    Duration m_initialWait;
    Duration m_maxWait;
    Duration m_next;
};

} // namespace egretlatch::store

#endif
