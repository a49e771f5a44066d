#ifndef EGRETLATCH_CONFIGURATION_REPORT_HPP
#define EGRETLATCH_CONFIGURATION_REPORT_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>

namespace egretlatch::configuration
{

/*! @brief Version that another daemon last reported as in force, and the age of that report. */
struct ReportedVersion
{
    DaemonId daemon;
    std::uint64_t version{};
    std::chrono::milliseconds age{};

    friend bool operator==(const ReportedVersion &, const ReportedVersion &) = default;
};

/*! @brief Configuration in force on one daemon, with the versions that the other daemons reported to it. */
struct Report
{
    DaemonId daemon;
    /*! @brief Version in force; zero for none, or for a manifest from the settings. */
    std::uint64_t version{};
    std::string hash;
    /*! @brief Newest version that is known to be accepted; above `version` while the daemon lags. */
    std::uint64_t newestKnown{};
    /*! @brief Reports of the other daemons, sorted by id. */
    std::vector<ReportedVersion> reported;

    friend bool operator==(const Report &, const Report &) = default;
};

} // namespace egretlatch::configuration

#endif
