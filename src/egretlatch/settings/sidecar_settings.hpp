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

/*! @brief Settings of a daemon on a VM managed by the platform, which assigns all addresses. */
struct SidecarSettings
{
    DaemonId id;
    std::string region;
    std::string dataCentre;
    /*! @brief Service of the backend server on this VM. */
    std::string service;
    /*! @brief IP address of the VM. */
    std::string address;
    /*! @brief Endpoint to which callers on this VM send their requests. */
    net::Endpoint callers;
    /*! @brief Endpoint of the readiness check, by which the platform decides to send callers here. */
    net::Endpoint readiness;
    /*! @brief Endpoint from which operators read the metrics; nothing if only the readiness endpoint serves them. */
    std::optional<net::Endpoint> metrics;
    /*! @brief Endpoint to which the backend server on this VM sends its reports. */
    net::Endpoint serverReports;
    /*! @brief Endpoint on which the backend server on this VM listens. */
    net::Endpoint backend;
    /*! @brief Endpoint on which the platform's store listens. */
    net::Endpoint store;
    /*! @brief True while the fleet starts for the first time, so that the store holds nothing of earlier daemons. */
    bool isFirstStart{};
    /*! @brief Port for connections between daemons. */
    std::uint16_t peerPort{};
    /*! @brief Endpoint on which other daemons reach this one, if its address is translated or relayed. */
    std::optional<net::Endpoint> announcedPeer;
    /*! @brief Bounds that the platform sets for the fleet, as `name=value` entries in the platform's notation. */
    std::vector<std::string> boundEntries;
    Policy policy{Policy::adaptive};
    /*! @brief Mechanisms to disable; for experiments only, operators leave it out. */
    DisabledMechanisms disabledMechanisms;
    /*! @brief Maximum bytes of all incomplete answers of the backend server but one. */
    std::int64_t answerMemoryBytes{};
    /*! @brief Maximum memory in bytes of incomplete requests of callers but one, and of long ones without an answer. */
    std::int64_t requestMemoryBytes{};
    LogLevel logLevel{LogLevel::info};

    friend bool operator==(const SidecarSettings &, const SidecarSettings &) = default;
};

/**
 * @brief Parses and validates the settings.
 * @param json Text of the settings file; unknown fields are ignored, since the platform may add some.
 * @return The settings; every problem found in the text otherwise.
 */
[[nodiscard]] tl::expected<SidecarSettings, Problems> parseSidecarSettings(const QByteArray &json);

} // namespace egretlatch::settings

#endif
