#ifndef EGRETLATCH_SETTINGS_DAEMON_SETTINGS_HPP
#define EGRETLATCH_SETTINGS_DAEMON_SETTINGS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <QByteArray>

#include <tl/expected.hpp>

#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/logger.hpp>
#include <egretlatch/settings/peer_keys.hpp>
#include <egretlatch/settings/problem.hpp>

namespace egretlatch::settings
{

/*! @brief Another daemon that this one contacts when it starts. */
struct PeerSettings
{
    DaemonId id;
    /*! @brief Address of its socket for other daemons, as `tcp://ADDRESS:PORT`. */
    std::string endpoint;

    friend bool operator==(const PeerSettings &, const PeerSettings &) = default;
};

/*! @brief Admission policy; all policies but `adaptive` are baselines for measurements. */
enum class Policy {
    /*! @brief Admits every call immediately. */
    none,
    /*! @brief Admits as many concurrent calls as the server has slots, in order of arrival. */
    staticLimit,
    /*! @brief Like `staticLimit`, with the queue ordered by priority. */
    priorityOnly,
    /*! @brief Uses adaptive admission control with all mechanisms. */
    adaptive,
};

/*! @brief Settings that a daemon reads from its settings file when it starts. */
struct DaemonSettings
{
    DaemonId id;
    std::string region;
    std::string dataCentre;
    /*! @brief Address on which this daemon accepts callers and the inner calls of its backend server. */
    std::string listenAddress;
    std::uint16_t callerPort{};
    /*! @brief Port of the socket for other daemons. */
    std::uint16_t peerPort{};
    /*! @brief Base URL of this daemon's backend server. */
    std::string backendUrl;
    std::vector<PeerSettings> peers;
    /*! @brief Keys of the connections between daemons; nothing if their encryption is off. */
    std::optional<PeerKeys> peerKeys;
    /*! @brief Manifest to start with if no platform is set; empty otherwise. */
    std::string manifestFile;
    /*! @brief Base URL of the platform's table service and object store; empty for none. */
    std::string platformUrl;
    /*! @brief File with the token for the platform; empty for none. */
    std::string platformTokenFile;
    /*! @brief File with the token that is required to read the operators' pages. */
    std::string operatorTokenFile;
    /*! @brief True if the operators' pages require no token, for a trusted network. */
    bool isOpenToOperators{};
    /*! @brief Base URL of the collector to which spans are exported as OTLP/JSON over HTTP; empty for none. */
    std::string collectorUrl;
    std::int64_t maxBodyBytes{};
    Policy policy{Policy::adaptive};
    /*! @brief True if the entry daemon owns request keys that name no owner; safe only with a single entry daemon that is never restarted. */
    bool ownsKeysWithoutOwner{};
    LogLevel logLevel{LogLevel::info};
    /*! @brief Seed of the random source; the machine's entropy is used if there is none. */
    std::optional<std::uint64_t> seed;

    friend bool operator==(const DaemonSettings &, const DaemonSettings &) = default;
};

/**
 * @brief Parses and validates the settings of a daemon.
 * @param json Text of the settings file.
 * @return The settings; every problem found in the text otherwise.
 */
[[nodiscard]] tl::expected<DaemonSettings, Problems> parseDaemonSettings(const QByteArray &json);

} // namespace egretlatch::settings

#endif
