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
 * @brief Draws a random delay before a retry: exponential backoff with full jitter.
 * @param retriesSoFar Retries that the call has already made.
 * @param random Source of the jitter.
 * @return A delay below 4 ms for the first retry; the bound doubles with each retry up to 256 ms.
 */
[[nodiscard]] inline Duration backoff(const int retriesSoFar, RandomSource &random)
{
    const Duration bound = backoffBase * (1 << std::min(retriesSoFar, backoffDoublings));
    return random.below(bound);
}

} // namespace egretlatch::retry

#endif
