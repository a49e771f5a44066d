#ifndef EGRETLATCH_SETTINGS_SIDECAR_SETTINGS_HPP
#define EGRETLATCH_SETTINGS_SIDECAR_SETTINGS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <QByteArray>

#include <tl/expected.hpp>

#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/logger.hpp>
#include <egretlatch/net/endpoint.hpp>
#include <egretlatch/settings/daemon_settings.hpp>
#include <egretlatch/settings/mechanism.hpp>
#include <egretlatch/settings/problem.hpp>

namespace egretlatch::settings
{

/*! @brief Settings of a daemon on a VM that the platform runs; it gives all addresses. */
struct SidecarSettings
{
    DaemonId id;
    std::string region;
    std::string dataCentre;
    /*! @brief Service of the backend server on this VM. */
    std::string service;
    /*! @brief IP number of the VM. */
    std::string address;
    /*! @brief Where callers on this VM send their requests. */
    net::Endpoint callers;
    /*! @brief Where the platform asks whether callers may be sent here. */
    net::Endpoint readiness;
    /*! @brief Where operators read the metrics; nothing for no address but that of the readiness. */
    std::optional<net::Endpoint> metrics;
    /*! @brief Where the backend server on this VM reports. */
    net::Endpoint serverReports;
    /*! @brief Where the backend server on this VM listens. */
    net::Endpoint backend;
    /*! @brief Where the platform's store listens. */
    net::Endpoint store;
    /*! @brief Port of the connections between daemons. */
    std::uint16_t peerPort{};
    /*! @brief Where other daemons reach this one, if a translated or relayed address stands in front of it. */
    std::optional<net::Endpoint> announcedPeer;
    /*! @brief What the platform asks of the fleet, in its own words. */
    std::vector<std::string> boundTexts;
    Policy policy{Policy::adaptive};
    /*! @brief For experiments alone; operators leave it out. */
    DisabledMechanisms disabledMechanisms;
    LogLevel logLevel{LogLevel::info};

    friend bool operator==(const SidecarSettings &, const SidecarSettings &) = default;
};

/**
 * @brief Reads and checks the settings.
 * @param json Text of the file; unknown fields are passed over, since the platform may add some.
 * @return The settings, or every problem found in the text.
 */
[[nodiscard]] tl::expected<SidecarSettings, Problems> parseSidecarSettings(const QByteArray &json);

} // namespace egretlatch::settings

#endif
