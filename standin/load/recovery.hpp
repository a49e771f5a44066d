#ifndef STANDIN_LOAD_RECOVERY_HPP
#define STANDIN_LOAD_RECOVERY_HPP

#include <optional>
#include <vector>

#include <load/scenario.hpp>

namespace standin::load
{

/*! @brief Recovery of goodput after an overload. */
struct Recovery
{
    /*! @brief Mean weighted goodput per second before the overload. */
    double baselineGoodput{};
    /*! @brief Recovery time in seconds from the end of the overload; empty if goodput did not recover within the run. */
    std::optional<int> seconds;

    friend bool operator==(const Recovery &, const Recovery &) = default;
};

/**
 * @brief Returns the time from the end of an overload until weighted goodput stays at or above 95 % of its baseline for three
 * consecutive seconds.
 *
 * The baseline is the mean over the seconds before the overload, excluding the first two, in which connections are opened.
 * @param goodput Weighted goodput by second.
 * @param overload The overload; an empty one gives no recovery time.
 * @return The baseline and the recovery time.
 */
[[nodiscard]] Recovery findRecovery(const std::vector<double> &goodput, const OverloadSpan &overload);

} // namespace standin::load

#endif
