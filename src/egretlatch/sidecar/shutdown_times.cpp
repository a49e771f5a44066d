#include <egretlatch/sidecar/shutdown_times.hpp>

#include <algorithm>

namespace egretlatch::sidecar
{

namespace internal
{

// The platform probes readiness once a second and redirects callers after two failed probes.
constexpr std::chrono::milliseconds minNotice{2000};
// Adds 0.3 s for late probes of the platform.
constexpr std::chrono::milliseconds maxNotice{2300};
// Percentage of the grace period after which requests in flight are given up. The platform does not count a request as cut off that is still
// at its server in the last sixth of the period.
constexpr int exitPercent = 85;
// Percentage of the grace period after which the process exits; the rest is time for the exit itself.
constexpr int deliveryPercent = 95;
constexpr int hundredPercent = 100;

} // namespace internal

ShutdownTimes shutdownTimes(const std::chrono::milliseconds grace, const std::chrono::milliseconds maxTimeout)
{
    const std::chrono::milliseconds end = grace * internal::exitPercent / internal::hundredPercent;
    return {.notice = std::clamp(end - maxTimeout, internal::minNotice, internal::maxNotice),
            .end = end,
            .delivery = grace * internal::deliveryPercent / internal::hundredPercent};
}

} // namespace egretlatch::sidecar
