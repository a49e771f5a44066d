#ifndef EGRETLATCH_SETTINGS_FLEET_BOUNDS_HPP
#define EGRETLATCH_SETTINGS_FLEET_BOUNDS_HPP

#include <chrono>

namespace egretlatch::settings
{

/*! @brief Bounds that the platform sets for the fleet; the defaults suit a deployment with loose requirements. */
struct FleetBounds
{
    /*! @brief Time from the termination signal until the process is killed. */
    std::chrono::milliseconds grace{6000};
    /*! @brief Time from the report that a backend server is leaving until the last new request is sent to it. */
    std::chrono::milliseconds drain{2000};
    /*! @brief Retries per request that a service accepts from the whole fleet. */
    double retryRatio{0.1};
    /*! @brief Retries per service beyond that ratio, for the whole fleet together. */
    double retrySlack{10.0};

    friend bool operator==(const FleetBounds &, const FleetBounds &) = default;
};

} // namespace egretlatch::settings

#endif
