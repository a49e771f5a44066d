#ifndef STANDIN_LOAD_RECOVERY_HPP
#define STANDIN_LOAD_RECOVERY_HPP

#include <optional>
#include <vector>

#include <load/scenario.hpp>

namespace standin::load
{

/*! @brief How goodput came back after an overload. */
struct Recovery
{
    /*! @brief Mean weighted goodput by second before the overload. */
    double baselineGoodput{};
    /*! @brief Seconds from the end of the overload; nothing if goodput did not come back within the run. */
    std::optional<int> seconds;

    friend bool operator==(const Recovery &, const Recovery &) = default;
};

/**
 * @brief Finds the time from the end of overload to the first second from which weighted goodput stays at 95 % of the
 * level before, or above, for three seconds.
 *
 * The level before is the mean over the seconds before the overload without the first two, in which connections open.
 * @param goodput Weighted goodput by second.
 * @param overload The overload; an empty one gives no recovery.
 * @return The level and the time.
 */
[[nodiscard]] Recovery findRecovery(const std::vector<double> &goodput, const OverloadSpan &overload);

} // namespace standin::load

#endif
