#ifndef EGRETLATCH_SETTINGS_FLEET_BOUNDS_HPP
#define EGRETLATCH_SETTINGS_FLEET_BOUNDS_HPP

#include <chrono>

namespace egretlatch::settings
{

/*! @brief What the platform asks of the fleet; the defaults are those of a deployment that asks for little. */
struct FleetBounds
{
    /*! @brief From the signal to end to the end that is not asked. */
    std::chrono::milliseconds grace{6000};
    /*! @brief From the word that a backend server leaves to the last new request at it. */
    std::chrono::milliseconds drain{2000};
    /*! @brief Repeats for each request that a service takes from the whole fleet. */
    double retryRatio{0.1};
    /*! @brief Repeats beyond that share, for a service and the whole fleet. */
    double retrySlack{10.0};

    friend bool operator==(const FleetBounds &, const FleetBounds &) = default;
};

} // namespace egretlatch::settings

#endif
