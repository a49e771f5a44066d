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

/*! @brief What a rumour is about; each kind has its own space of keys. */
enum class RumourKind {
    /*! @brief Head of the configuration: the version, and its hash as the payload. */
    configuration,
    /*! @brief A backend server that leaves; the key names it and the daemon beside it. */
    departure,
    /*! @brief A request that crashes backend servers; the key is its fingerprint. */
    quarantine,
};

/**
 * @brief Gives a kind as text.
 * @param kind The kind.
 * @return Its name in metrics.
 */
[[nodiscard]] std::string_view toString(RumourKind kind) noexcept;

/*! @brief Names a rumour. */
struct RumourKey
{
    RumourKind kind{};
    std::string key;

    friend auto operator<=>(const RumourKey &, const RumourKey &) = default;
};

/*! @brief A small fact that every daemon should know. */
struct Rumour
{
    RumourKey key;
    /*! @brief Of two rumours with one key, the higher version holds. */
    std::uint64_t version{};
    /*! @brief At most `maxRumourBytes` bytes; longer ones are dropped. */
    std::string payload;
    /*! @brief Time for which it still holds; zero for a rumour that holds until it is replaced. */
    Duration remaining{};

    friend bool operator==(const Rumour &, const Rumour &) = default;
};

/**
 * @brief Makes the key of a rumour about a daemon.
 * @param daemon The daemon.
 * @param rest What tells the rumour from others about it.
 * @return The key; with nothing for the rest, what all keys about that daemon begin with.
 */
[[nodiscard]] std::string daemonRumourKey(const DaemonId &daemon, const std::string &rest);

/*! @brief Bytes that a rumour's payload has at most. */
constexpr std::size_t maxRumourBytes = 512;

} // namespace egretlatch::membership

#endif
