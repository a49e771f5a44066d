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

    /*! @brief Time from the acceptance of a configuration until it is in force everywhere. */
    std::chrono::milliseconds configurationApply{2000};
    /*! @brief Requires that withdrawn API keys stop working on each daemon, also one that is cut off. */
    bool isWithdrawalStrict{};
    /*! @brief Time from the acceptance of a configuration without a key until no request with the key is run. */
    std::chrono::milliseconds withdrawal{5000};
    /*! @brief Window in which the requests of a client account are counted. */
    std::chrono::milliseconds quotaWindow{5000};
    /*! @brief Share of the quota of a window by which its requests may exceed it. */
    double quotaOverage{0.1};
    /*! @brief Requests of a window beyond that share. */
    double quotaSlack{20.0};

    friend bool operator==(const FleetBounds &, const FleetBounds &) = default;
};

} // namespace egretlatch::settings

#endif
