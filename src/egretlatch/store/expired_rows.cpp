#include <egretlatch/store/expired_rows.hpp>

#include <charconv>
#include <utility>

#include <fmt/format.h>

namespace egretlatch::store
{

namespace internal
{

// Each saved row adds one, and every eighth looks for this many expired ones: fewer rows are added than can be removed.
constexpr int expiredRowsPerScan = 32;
constexpr std::uint64_t savesPerScan = 8;

[[nodiscard]] static std::chrono::milliseconds sinceEpoch(const WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
}

} // namespace internal

ExpiredRows::ExpiredRows(std::string prefix, const std::chrono::milliseconds lifetime, RandomSource &random)
    : m_prefix{std::move(prefix)}
    , m_lifetime{lifetime}
    , m_random{random}
{
}

std::string ExpiredRows::stamp(const WallTime wallNow)
{
    return std::to_string(internal::sinceEpoch(wallNow).count());
}

std::string ExpiredRows::hashText(const std::uint64_t hash)
{
    return fmt::format("{:016x}", hash);
}

bool ExpiredRows::isExpired(const Row &row, const WallTime wallNow) const
{
    std::int64_t savedAtMs = 0;
    const char *const end = row.value.data() + row.value.size();
    const bool isReadable = std::from_chars(row.value.data(), end, savedAtMs).ec == std::errc{};
    return !isReadable || internal::sinceEpoch(wallNow) - std::chrono::milliseconds{savedAtMs} > m_lifetime;
}

void ExpiredRows::noteSaved()
{
    m_isScanDue = m_random.below(internal::savesPerScan) == 0;
}

std::optional<Request> ExpiredRows::next()
{
    if (!m_expired.empty()) {
        TableWrite removal;
        for (const Row &row : std::exchange(m_expired, {})) {
            removal.conditions.push_back({.key = row.key, .version = row.version});
            removal.writes.push_back({.key = row.key, .value = std::nullopt});
        }
        return removal;
    }
    if (std::exchange(m_isScanDue, false)) {
        return TableScan{.prefix = m_prefix, .after = m_prefix + hashText(m_random.next()), .limit = internal::expiredRowsPerScan};
    }
    return std::nullopt;
}

void ExpiredRows::handleReply(const Reply &reply, const WallTime wallNow)
{
    const auto *const rows = std::get_if<RowsReply>(&reply);
    if (rows == nullptr) {
        return;
    }
    for (const Row &row : rows->rows) {
        if (isExpired(row, wallNow)) {
            m_expired.push_back(row);
        }
    }
}

} // namespace egretlatch::store
