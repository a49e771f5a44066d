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

/*! @brief Another daemon that this one can turn to at its start. */
struct PeerSettings
{
    DaemonId id;
    /*! @brief Address of its peer socket, as `tcp://ADDRESS:PORT`. */
    std::string endpoint;

    friend bool operator==(const PeerSettings &, const PeerSettings &) = default;
};

/*! @brief How much of the design decides; everything but `adaptive` is a baseline to measure against. */
enum class Policy {
    /*! @brief Everything goes through at once. */
    none,
    /*! @brief As many calls at once as the server has slots, first come first served. */
    staticLimit,
    /*! @brief A static limit, and the queue ordered by priority. */
    priorityOnly,
    /*! @brief The whole design. */
    adaptive,
};

/*! @brief What one daemon reads from its settings file at its start. */
struct DaemonSettings
{
    DaemonId id;
    std::string region;
    std::string dataCentre;
    /*! @brief Address on which callers, and the backend server's inner calls, reach this daemon. */
    std::string listenAddress;
    std::uint16_t callerPort{};
    /*! @brief Port of the socket for other daemons. */
    std::uint16_t peerPort{};
    /*! @brief Base URL of the backend server beside this daemon. */
    std::string backendUrl;
    std::vector<PeerSettings> peers;
    /*! @brief Keys of the connections between daemons; nothing where their encryption is switched off. */
    std::optional<PeerKeys> peerKeys;
    /*! @brief Manifest to start with where no platform is set; empty otherwise. */
    std::string manifestFile;
    /*! @brief Base URL of the platform's table service and object store; empty for none. */
    std::string platformUrl;
    /*! @brief File with the token that the platform asks for; empty for none. */
    std::string platformTokenFile;
    /*! @brief File with the token that operators' reads need. */
    std::string operatorTokenFile;
    /*! @brief Whether operators' reads need no token, for a trusted network. */
    bool isOpenToOperators{};
    /*! @brief Where spans go, as OTLP/JSON over HTTP; empty for none. */
    std::string collectorUrl;
    std::int64_t maxBodyBytes{};
    Policy policy{Policy::adaptive};
    /*! @brief Whether the entry owns request keys that name no owner; safe only with a single entry that is never restarted. */
    bool ownsKeysWithoutOwner{};
    LogLevel logLevel{LogLevel::info};
    /*! @brief Seed of the random source; without one, the machine's entropy. */
    std::optional<std::uint64_t> seed;

    friend bool operator==(const DaemonSettings &, const DaemonSettings &) = default;
};

/**
 * @brief Reads and checks the settings of a daemon.
 * @param json Text of the settings file.
 * @return The settings, or every problem found in the text.
 */
[[nodiscard]] tl::expected<DaemonSettings, Problems> parseDaemonSettings(const QByteArray &json);

} // namespace egretlatch::settings

#endif
