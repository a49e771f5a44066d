#ifndef EGRETLATCH_SIDECAR_SHUTDOWN_TIMES_HPP
#define EGRETLATCH_SIDECAR_SHUTDOWN_TIMES_HPP

#include <chrono>

namespace egretlatch::sidecar
{

/*! @brief Phases of a daemon's shutdown, measured from the termination signal. */
struct ShutdownTimes
{
    /*! @brief End of accepting new requests: until then callers, and daemons that know no other server, may still send some. */
    std::chrono::milliseconds notice{};
    /*! @brief End of waiting for requests in flight. */
    std::chrono::milliseconds end{};
    /*! @brief Latest exit of the process, while callers still read answers that are complete here. */
    std::chrono::milliseconds delivery{};

    friend bool operator==(const ShutdownTimes &, const ShutdownTimes &) = default;
};

/**
 * @brief Divides the platform's grace period into the phases of a shutdown.
 *
 * Prevents requests from being cut off by the exit: one that arrives at the end of the notice and takes the whole timeout of
 * its route must complete before the process exits.
 * @param grace Time from the termination signal to the forced kill.
 * @param maxTimeout Longest timeout of a route.
 * @return The phases; the notice has a lower bound, so a request with a long timeout may still be cut off.
 */
[[nodiscard]] ShutdownTimes shutdownTimes(std::chrono::milliseconds grace, std::chrono::milliseconds maxTimeout);

} // namespace egretlatch::sidecar

#endif
