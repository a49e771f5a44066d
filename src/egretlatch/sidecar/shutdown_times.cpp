#include <egretlatch/sidecar/shutdown_times.hpp>

#include <algorithm>

namespace egretlatch::sidecar
{

namespace internal
{

// The platform asks for readiness once a second and sends callers elsewhere after two answers that are not good.
constexpr std::chrono::milliseconds minNotice{2000};
// A third of a second for answers of the platform that come late.
constexpr std::chrono::milliseconds maxNotice{2300};
// Part of the time, in hundredths, after which the process ends by itself; the platform counts a request that is still at its
// server in the last sixth as not cut off.
constexpr int exitPercent = 85;
constexpr int hundredPercent = 100;

} // namespace internal

ShutdownTimes shutdownTimes(const std::chrono::milliseconds grace, const std::chrono::milliseconds maxTimeout)
{
    const std::chrono::milliseconds end = grace * internal::exitPercent / internal::hundredPercent;
    return {.notice = std::clamp(end - maxTimeout, internal::minNotice, internal::maxNotice), .end = end};
}

} // namespace egretlatch::sidecar
