#include <egretlatch/retry/shard_row.hpp>

#include <algorithm>
#include <sstream>

#include <fmt/format.h>

namespace egretlatch::retry
{

int shardOf(const Uuid &key) noexcept
{
    return static_cast<int>(key.hash() % shardCount);
}

std::optional<ShardRow> ShardRow::parse(const std::string_view text)
{
    std::istringstream lines{std::string{text}};
    std::string writer;
    if (!std::getline(lines, writer)) {
        return std::nullopt;
    }
    ShardRow row;
    std::int64_t from = 0;
    std::int64_t until = 0;
    std::uint64_t incarnation = 0;
    std::string daemon;
    while (lines >> from >> until >> incarnation >> daemon) {
        const std::chrono::milliseconds start{from};
        const bool isInOrder = until >= from && (row.m_intervals.empty() || row.m_intervals.back().until <= start);
        if (!isInOrder) {
            return std::nullopt;
        }
        row.m_intervals.push_back({.from = start, .until = std::chrono::milliseconds{until}, .owner = {.daemon = {daemon}, .incarnation = {incarnation}}});
    }
    return lines.eof() ? std::optional{row} : std::nullopt;
}

std::string ShardRow::toText(const std::string_view writer) const
{
    std::string text = fmt::format("{}\n", writer);
    for (const KeyInterval &interval : m_intervals) {
        fmt::format_to(std::back_inserter(text),
                       "{} {} {} {}\n",
                       interval.from.count(),
                       interval.until.count(),
                       interval.owner.incarnation.value,
                       interval.owner.daemon.value);
    }
    return text;
}

std::optional<KeyInterval> ShardRow::find(const std::chrono::milliseconds minted) const
{
    const auto found = std::find_if(m_intervals.begin(), m_intervals.end(), [minted](const KeyInterval &interval) {
        return interval.from <= minted && minted < interval.until;
    });
    return found == m_intervals.end() ? std::nullopt : std::optional{*found};
}

ShardRow ShardRow::extend(const KeyOwner &owner, const std::chrono::milliseconds until) const
{
    ShardRow row = *this;
    const std::optional<KeyInterval> previous = last();
    if (previous.has_value() && previous->owner == owner) {
        row.m_intervals.back().until = std::max(previous->until, until);
        return row;
    }
    // A gap after the last interval becomes part of the new one: no owner was granted it, so none can have run its keys.
    const std::chrono::milliseconds from = previous.has_value() ? previous->until : std::chrono::milliseconds{0};
    row.m_intervals.push_back({.from = from, .until = std::max(from, until), .owner = owner});
    if (row.m_intervals.size() > maxIntervals) {
        row.m_intervals.erase(row.m_intervals.begin());
    }
    return row;
}

ShardRow ShardRow::truncate(const std::chrono::milliseconds until) const
{
    ShardRow row = *this;
    KeyInterval &interval = row.m_intervals.back();
    interval.until = std::clamp(until, interval.from, interval.until);
    return row;
}

std::optional<KeyInterval> ShardRow::last() const
{
    return m_intervals.empty() ? std::nullopt : std::optional{m_intervals.back()};
}

} // namespace egretlatch::retry
