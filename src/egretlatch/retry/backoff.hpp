#ifndef EGRETLATCH_RETRY_BACKOFF_HPP
#define EGRETLATCH_RETRY_BACKOFF_HPP

#include <algorithm>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/random_source.hpp>

namespace egretlatch::retry
{

constexpr std::chrono::milliseconds backoffBase{4};
constexpr int backoffDoublings = 6;

/**
 * @brief Draws the wait before a retry: full jitter under a bound that doubles with each retry.
 * @param retriesSoFar Retries that the call has made.
 * @param random Source of the jitter.
 * @return A time below 4 ms for the first retry and below 256 ms for any.
 */
[[nodiscard]] inline Duration backoff(const int retriesSoFar, RandomSource &random)
{
    const Duration bound = backoffBase * (1 << std::min(retriesSoFar, backoffDoublings));
    return Duration{static_cast<Duration::rep>(random.below(static_cast<std::uint64_t>(bound.count())))};
}

} // namespace egretlatch::retry

#endif
