#ifndef EGRETLATCH_MEMBERSHIP_RUMOUR_HPP
#define EGRETLATCH_MEMBERSHIP_RUMOUR_HPP

#include <compare>
#include <cstdint>
#include <string>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::membership
{

/*! @brief What a rumour is about; each kind has its own space of keys. */
enum class RumourKind {
    /*! @brief Head of the configuration: the version, and its hash as the payload. */
    configuration,
    /*! @brief A request that crashes backend servers; the key is its fingerprint. */
    quarantine,
};

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
    /*! @brief At most `largestRumour` bytes; longer ones are dropped. */
    std::string payload;
    /*! @brief Time for which it still holds; zero for a rumour that holds until it is replaced. */
    Duration remaining{};

    friend bool operator==(const Rumour &, const Rumour &) = default;
};

/*! @brief Bytes that a rumour's payload has at most. */
constexpr std::size_t largestRumour = 512;

} // namespace egretlatch::membership

#endif
