#ifndef EGRETLATCH_RETRY_SHARD_ROW_HPP
#define EGRETLATCH_RETRY_SHARD_ROW_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/uuid.hpp>
#include <egretlatch/retry/request_key.hpp>

namespace egretlatch::retry
{

/*! @brief Number of shards that keys with a time of their own are distributed over; must be the same in the whole fleet. */
constexpr int shardCount = 64;

/**
 * @brief Returns the shard of a key.
 * @param key A version 7 UUID.
 * @return Number of the shard in [0, shardCount); the same on every daemon.
 */
[[nodiscard]] int shardOf(const Uuid &key) noexcept;

/*! @brief Assigns the keys of a shard minted in [from, until) to an owner permanently. */
struct KeyInterval
{
    std::chrono::milliseconds from{};
    std::chrono::milliseconds until{};
    KeyOwner owner;

    friend bool operator==(const KeyInterval &, const KeyInterval &) = default;
};

/**
 * @brief Intervals of one shard, stored as a row of the table.
 *
 * Only extend() and truncate() make a new row of an old one, and the row is written only if the old one is still in the
 * table. So intervals never overlap, and a written interval changes only at its end, and only through its owner.
 */
class ShardRow
{
public:
    /*! @brief Maximum number of intervals; the oldest are dropped, and keys from before them have no known owner. */
    static constexpr std::size_t maxIntervals = 16;

    /*! @brief Creates a row without intervals. */
    ShardRow() = default;

    /**
     * @brief Parses a row.
     * @param text Value of the row.
     * @return The row, or nothing if the text is malformed.
     */
    [[nodiscard]] static std::optional<ShardRow> parse(std::string_view text);

    /**
     * @brief Returns the value to write.
     * @param writer Unique id of the write, by which its author recognizes it.
     * @return The text.
     */
    [[nodiscard]] std::string toText(std::string_view writer) const;

    /**
     * @brief Finds the interval that contains a time.
     * @param minted Time of the key.
     * @return The interval, or nothing if that time isn't granted.
     */
    [[nodiscard]] std::optional<KeyInterval> find(std::chrono::milliseconds minted) const;

    /**
     * @brief Grants the time that follows the last interval.
     * @param owner The new owner.
     * @param until End of the grant.
     * @return The new row.
     */
    [[nodiscard]] ShardRow extend(const KeyOwner &owner, std::chrono::milliseconds until) const;

    /**
     * @brief Ends the last interval early.
     * @param until The new end; clamped to the interval.
     * @return The new row.
     */
    [[nodiscard]] ShardRow truncate(std::chrono::milliseconds until) const;

    /**
     * @brief Returns the last interval.
     * @return The interval, or nothing if the row is empty.
     */
    [[nodiscard]] std::optional<KeyInterval> last() const;

    friend bool operator==(const ShardRow &, const ShardRow &) = default;

private:
    std::vector<KeyInterval> m_intervals;
};

} // namespace egretlatch::retry

#endif
