#include <egretlatch/sidecar/leaving_times.hpp>

#include <algorithm>

namespace egretlatch::sidecar
{

namespace internal
{

// The platform asks for readiness once a second and sends callers elsewhere after two answers that are not good.
constexpr std::chrono::milliseconds shortestNotice{2000};
// A third of a second for answers of the platform that come late.
constexpr std::chrono::milliseconds longestNotice{2300};
// Part of the time, in hundredths, after which the process ends by itself; the platform counts a request that is still at its
// server in the last sixth as not cut off.
constexpr int endShare = 85;
constexpr int hundredths = 100;

} // namespace internal

LeavingTimes leavingTimesOf(const std::chrono::milliseconds grace, const std::chrono::milliseconds longestTimeout)
{
    const std::chrono::milliseconds end = grace * internal::endShare / internal::hundredths;
    return {.notice = std::clamp(end - longestTimeout, internal::shortestNotice, internal::longestNotice), .end = end};
}

} // namespace egretlatch::sidecar
