#include <egretlatch/membership/departure_record.hpp>

#include <algorithm>
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

[[nodiscard]] static std::string prefixOf(const DaemonId &daemon)
{
    const std::uint64_t hash = XXH64(daemon.value.data(), daemon.value.size(), 0);
    return fmt::format("{}{}/{}/", tablePrefix, store::ExpiredRows::hashText(hash), daemon.value);
}

} // namespace internal

DepartureRecord::DepartureRecord(const DaemonId &self, const bool isFirstStart, RandomSource &random)
    : m_prefix{internal::prefixOf(self)}
    , m_random{random}
    , m_backoff{internal::minRetryInterval, internal::maxRetryInterval}
    , m_isRead{isFirstStart}
    , m_expiredRows{std::string{internal::tablePrefix}, internal::rowLifetime, random}
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
    std::optional<store::Request> cleanUp = m_expiredRows.next();
    if (cleanUp.has_value()) {
        m_step = Step::cleanUp;
    }
    return cleanUp;
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
    } else if (step == Step::cleanUp) {
        m_expiredRows.handleReply(*outcome, wallNow);
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
    return store::TableWrite{.conditions = {}, .writes = {{.key = m_prefix + m_unsaved.front(), .value = store::ExpiredRows::stamp(wallNow)}}};
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
    m_expiredRows.noteSaved();
}

} // namespace egretlatch::membership
