#ifndef EGRETLATCH_PLATFORM_BOUNDS_HPP
#define EGRETLATCH_PLATFORM_BOUNDS_HPP

#include <chrono>
#include <string>
#include <vector>

#include <egretlatch/settings/fleet_bounds.hpp>

namespace egretlatch::platform
{

/**
 * @brief Parses the bounds that the platform sets for each daemon.
 * @param entries Entries of the form `name=value`; unknown names and invalid values are ignored.
 * @return The bounds, with defaults for missing entries.
 */
[[nodiscard]] settings::FleetBounds readBounds(const std::vector<std::string> &entries);

} // namespace egretlatch::platform

#endif
