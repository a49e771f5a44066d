#ifndef EGRETLATCH_PLATFORM_BOUNDS_HPP
#define EGRETLATCH_PLATFORM_BOUNDS_HPP

#include <chrono>
#include <string>
#include <vector>

#include <egretlatch/settings/fleet_bounds.hpp>

namespace egretlatch::platform
{

/**
 * @brief Reads what the platform asks of each daemon.
 * @param texts Entries of the form `name=value`; unknown ones, and values that cannot be read, are passed over.
 * @return The bounds, with defaults for what is missing.
 */
[[nodiscard]] settings::FleetBounds readBounds(const std::vector<std::string> &texts);

} // namespace egretlatch::platform

#endif
