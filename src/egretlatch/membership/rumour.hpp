#ifndef EGRETLATCH_MEMBERSHIP_RUMOUR_HPP
#define EGRETLATCH_MEMBERSHIP_RUMOUR_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>

namespace egretlatch::membership
{

/*! @brief Kind of a rumour; each kind has its own key space. */
enum class RumourKind {
    /*! @brief Newest configuration: its version, with its hash as the payload. */
    configuration,
    /*! @brief Departure of a backend server; the key names it and its daemon. */
    departure,
    /*! @brief Quarantine of a request that crashes backend servers; the key is its fingerprint. */
    quarantine,
};

/**
 * @brief Returns the name of a kind.
 * @param kind The kind.
 * @return Its name in metrics.
 */
[[nodiscard]] std::string_view toString(RumourKind kind) noexcept;

/*! @brief Identifies a rumour. */
struct RumourKey
{
    RumourKind kind{};
    std::string key;

    friend auto operator<=>(const RumourKey &, const RumourKey &) = default;
};

/*! @brief Small piece of information that is disseminated to every daemon. */
struct Rumour
{
    RumourKey key;
    /*! @brief Version of the rumour; of two rumours with the same key, the one with the higher version is valid. */
    std::uint64_t version{};
    /*! @brief At most `maxRumourBytes` bytes; rumours with more are dropped. */
    std::string payload;
    /*! @brief Remaining time to live; zero for a rumour that is valid until it is replaced. */
    Duration remaining{};

    friend bool operator==(const Rumour &, const Rumour &) = default;
};

/**
 * @brief Builds the key of a rumour about a daemon.
 * @param daemon The daemon.
 * @param rest Distinguishes the rumour from others about the same daemon.
 * @return The key; with an empty rest, the common prefix of all keys about that daemon.
 */
[[nodiscard]] std::string daemonRumourKey(const DaemonId &daemon, const std::string &rest);

/*! @brief Maximum size of a rumour's payload, and of its key, in bytes. */
constexpr std::size_t maxRumourBytes = 512;

} // namespace egretlatch::membership

#endif
