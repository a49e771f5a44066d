#include <egretlatch/membership/departure_record.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

namespace egretlatch::membership
{

namespace internal
{

constexpr std::string_view tablePrefix{"departure/"};
constexpr std::chrono::milliseconds minRetryInterval{250};
constexpr std::chrono::milliseconds maxRetryInterval{1000};
// Far longer than a report can be under way: its connection ends within minutes.
constexpr std::chrono::hours rowLifetime{1};
// More than a server and its restarts leave behind on one VM within the lifetime of a row.
constexpr int maxRowsOfDaemon = 64;
// Departures that wait while the store is away; one beyond it is reported again by its server.
constexpr std::size_t maxUnsaved = 64;
// Each departure adds a row, and every eighth looks for this many expired ones: fewer rows are added than can be removed.
constexpr int expiredRowsPerScan = 32;
constexpr std::uint64_t savesPerCleanUp = 8;

[[nodiscard]] static std::string hashText(const std::uint64_t hash)
{
    return fmt::format("{:016x}", hash);
}

// The hash spreads the rows evenly over the range of keys, so that a scan from a random key finds any of them.
[[nodiscard]] static std::string prefixOf(const DaemonId &daemon)
{
    return fmt::format("{}{}/{}/", tablePrefix, hashText(XXH64(daemon.value.data(), daemon.value.size(), 0)), daemon.value);
}

[[nodiscard]] static std::chrono::milliseconds sinceEpoch(const WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
}

[[nodiscard]] static bool isExpired(const store::Row &row, const WallTime wallNow)
{
    std::int64_t savedAtMs = 0;
    const char *const end = row.value.data() + row.value.size();
    const bool isReadable = std::from_chars(row.value.data(), end, savedAtMs).ec == std::errc{};
    return !isReadable || sinceEpoch(wallNow) - std::chrono::milliseconds{savedAtMs} > rowLifetime;
}

} // namespace internal

DepartureRecord::DepartureRecord(const DaemonId &self, const bool isFirstStart, RandomSource &random)
    : m_prefix{internal::prefixOf(self)}
    , m_random{random}
    , m_backoff{internal::minRetryInterval, internal::maxRetryInterval}
    , m_isRead{isFirstStart}
{
}

std::optional<store::Request> DepartureRecord::tick(const SteadyTime now, const WallTime wallNow)
{
    if (m_step != Step::none || now < m_nextAttempt) {
        return std::nullopt;
    }
    if (!m_isRead) {
        m_step = Step::read;
        return store::TableScan{.prefix = m_prefix, .after = {}, .limit = internal::maxRowsOfDaemon};
    }
    if (!m_unsaved.empty()) {
        m_step = Step::save;
        return saveRequest(wallNow);
    }
    if (!m_expired.empty()) {
        m_step = Step::removeExpired;
        return removeRequest();
    }
    if (std::exchange(m_isCleanUpDue, false)) {
        m_step = Step::findExpired;
        return findRequest();
    }
    return std::nullopt;
}

DepartureRecord::Effects DepartureRecord::handleOutcome(const store::Outcome &outcome, const SteadyTime now, const WallTime wallNow)
{
    const Step step = std::exchange(m_step, Step::none);
    Effects effects;
    if (!outcome.has_value()) {
        // A failed removal is not repeated: a later departure looks for expired rows again.
        if (step == Step::read || step == Step::save) {
            m_nextAttempt = now + m_backoff.next(m_random);
        }
        return effects;
    }
    m_backoff.reset();
    const auto *const rows = std::get_if<store::RowsReply>(&*outcome);
    if (step == Step::save) {
        handleSaved(effects);
    } else if (step == Step::read && rows != nullptr) {
        handleRead(*rows, effects);
    } else if (step == Step::findExpired && rows != nullptr) {
        handleFound(*rows, wallNow);
    }
    return effects;
}

void DepartureRecord::add(const std::string &incarnation)
{
    const bool isWaiting = std::find(m_unsaved.begin(), m_unsaved.end(), incarnation) != m_unsaved.end();
    if (!isSaved(incarnation) && !isWaiting && m_unsaved.size() < internal::maxUnsaved) {
        m_unsaved.push_back(incarnation);
    }
}

store::Request DepartureRecord::saveRequest(const WallTime wallNow) const
{
    const std::string value = std::to_string(internal::sinceEpoch(wallNow).count());
    return store::TableWrite{.conditions = {}, .writes = {{.key = m_prefix + m_unsaved.front(), .value = value}}};
}

store::Request DepartureRecord::findRequest()
{
    const std::string start = fmt::format("{}{}", internal::tablePrefix, internal::hashText(m_random.next()));
    return store::TableScan{.prefix = std::string{internal::tablePrefix}, .after = start, .limit = internal::expiredRowsPerScan};
}

store::Request DepartureRecord::removeRequest()
{
    store::TableWrite removal;
    for (const store::Row &row : m_expired) {
        removal.conditions.push_back({.key = row.key, .version = row.version});
        removal.writes.push_back({.key = row.key, .value = std::nullopt});
    }
    m_expired.clear();
    return removal;
}

void DepartureRecord::handleRead(const store::RowsReply &reply, Effects &effects)
{
    m_isRead = true;
    for (const store::Row &row : reply.rows) {
        std::string incarnation = row.key.substr(m_prefix.size());
        std::erase(m_unsaved, incarnation);
        m_saved.note(incarnation);
        effects.read.push_back(std::move(incarnation));
    }
}

void DepartureRecord::handleSaved(Effects &effects)
{
    effects.saved = m_unsaved.front();
    m_unsaved.pop_front();
    m_saved.note(*effects.saved);
    m_isCleanUpDue = m_random.below(internal::savesPerCleanUp) == 0;
}

void DepartureRecord::handleFound(const store::RowsReply &reply, const WallTime wallNow)
{
    for (const store::Row &row : reply.rows) {
        if (internal::isExpired(row, wallNow)) {
            m_expired.push_back(row);
        }
    }
}

} // namespace egretlatch::membership
