#ifndef EGRETLATCH_CONFIGURATION_REPORT_HPP
#define EGRETLATCH_CONFIGURATION_REPORT_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>

namespace egretlatch::configuration
{

/*! @brief What another daemon was last heard to have in force. */
struct ReportedVersion
{
    DaemonId daemon;
    std::uint64_t version{};
    std::chrono::milliseconds age{};

    friend bool operator==(const ReportedVersion &, const ReportedVersion &) = default;
};

/*! @brief What one daemon knows of the configurations in force. */
struct Report
{
    DaemonId daemon;
    /*! @brief Zero for none, or for a manifest of the settings. */
    std::uint64_t version{};
    std::string hash;
    /*! @brief Newest version known to be accepted; above `version` while the daemon lags. */
    std::uint64_t newestKnown{};
    /*! @brief Other daemons, by id. */
    std::vector<ReportedVersion> heard;

    friend bool operator==(const Report &, const Report &) = default;
};

} // namespace egretlatch::configuration

#endif
