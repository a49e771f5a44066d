#ifndef EGRETLATCH_SIDECAR_SHUTDOWN_TIMES_HPP
#define EGRETLATCH_SIDECAR_SHUTDOWN_TIMES_HPP

#include <chrono>

namespace egretlatch::sidecar
{

/*! @brief What a daemon does when, from the signal to end. */
struct ShutdownTimes
{
    /*! @brief Until then new requests are served: callers, and daemons that know of no other, may still come. */
    std::chrono::milliseconds notice{};
    /*! @brief When the process ends at the latest, whatever is under way. */
    std::chrono::milliseconds end{};

    friend bool operator==(const ShutdownTimes &, const ShutdownTimes &) = default;
};

/**
 * @brief Divides the time that the platform gives a daemon to end.
 *
 * Guards against requests that are cut off at the end of a shutdown: one that came as the notice ended, and takes as long as
 * its route allows, must end before the process does.
 * @param grace From the signal to the end that is not asked.
 * @param maxTimeout Longest timeout of a route.
 * @return The times.
 */
[[nodiscard]] ShutdownTimes shutdownTimes(std::chrono::milliseconds grace, std::chrono::milliseconds maxTimeout);

} // namespace egretlatch::sidecar

#endif
