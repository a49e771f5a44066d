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

/*! @brief Shards that the keys with a time of their own are spread over; the same number in the whole fleet. */
constexpr int shardCount = 64;

/**
 * @brief Gives the shard of a key.
 * @param key A version 7 UUID.
 * @return A number in [0, shardCount), the same on every daemon.
 */
[[nodiscard]] int shardOf(const Uuid &key) noexcept;

/*! @brief The keys of a shard that were minted in [from, until) belong to the owner, for ever. */
struct KeyInterval
{
    std::chrono::milliseconds from{};
    std::chrono::milliseconds until{};
    KeyOwner owner;

    friend bool operator==(const KeyInterval &, const KeyInterval &) = default;
};

/**
 * @brief The intervals of one shard, as a row of the table.
 *
 * Only extend() and truncate() make a new row of an old one, and the row is written on condition that the old one still
 * stands. So intervals never overlap, and one that has been written changes only at its end, by its own owner.
 */
class ShardRow
{
public:
    /*! @brief Intervals that are kept; keys older than those belong to nobody that could be asked. */
    static constexpr std::size_t maxIntervals = 16;

    /*! @brief Builds a row without intervals. */
    ShardRow() = default;

    /**
     * @brief Reads a row.
     * @param text Value of the row.
     * @return The row, or nothing if the text has another form.
     */
    [[nodiscard]] static std::optional<ShardRow> parse(std::string_view text);

    /**
     * @brief Gives the value to write.
     * @param writer Names the write, so that its author knows it again.
     * @return The text.
     */
    [[nodiscard]] std::string toText(std::string_view writer) const;

    /**
     * @brief Finds whose a time is.
     * @param minted Time of the key.
     * @return The interval, or nothing if nobody was granted that time.
     */
    [[nodiscard]] std::optional<KeyInterval> find(std::chrono::milliseconds minted) const;

    /**
     * @brief Grants the time that follows the last interval.
     * @param owner Who gets it.
     * @param until End of the grant.
     * @return The new row.
     */
    [[nodiscard]] ShardRow extend(const KeyOwner &owner, std::chrono::milliseconds until) const;

    /**
     * @brief Ends the last interval early.
     * @param until The new end; not before the interval's beginning.
     * @return The new row.
     */
    [[nodiscard]] ShardRow truncate(std::chrono::milliseconds until) const;

    /**
     * @brief Gives the last interval.
     * @return The interval, or nothing in an empty row.
     */
    [[nodiscard]] std::optional<KeyInterval> last() const;

    friend bool operator==(const ShardRow &, const ShardRow &) = default;

private:
    std::vector<KeyInterval> m_intervals;
};

} // namespace egretlatch::retry

#endif
