#ifndef EGRETLATCH_STORE_BACKOFF_HPP
#define EGRETLATCH_STORE_BACKOFF_HPP

#include <algorithm>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/random_source.hpp>

namespace egretlatch::store
{

/*! @brief Exponential backoff with jitter: the upper bound doubles with each failure up to a maximum, and each wait is drawn from its upper half. */
class Backoff
{
public:
    /**
     * @brief Constructs a backoff without failures.
     * @param initialWait Upper bound of the wait after the first failure.
     * @param maxWait Upper bound of all waits.
     */
    Backoff(const Duration initialWait, const Duration maxWait)
        : m_initialWait{initialWait}
        , m_maxWait{maxWait}
        , m_next{initialWait}
    {
    }

    /**
     * @brief Returns the wait after another failure.
     *
     * All daemons see an outage begin and end at the same time; the jitter keeps them from retrying in step.
     * @param random Source of the jitter.
     * @return A wait between half of the current upper bound and the whole of it.
     */
    [[nodiscard]] Duration next(RandomSource &random)
    {
        const Duration upperBound = m_next;
        m_next = std::min(m_maxWait, m_next * 2);
        const Duration half = upperBound / 2;
        return half + random.below(upperBound - half + Duration{1});
    }

    /*! @brief Resets to the initial wait after a success. */
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
