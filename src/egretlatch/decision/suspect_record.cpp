#include <egretlatch/decision/suspect_record.hpp>

#include <algorithm>
#include <charconv>
#include <set>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace egretlatch::decision
{

namespace internal
{

constexpr std::string_view suspectPrefix{"suspect/"};
constexpr std::chrono::milliseconds minRetryInterval{250};
constexpr std::chrono::milliseconds maxRetryInterval{1000};
// The time for which a crash counts, and as much again for clocks of VMs that differ.
constexpr std::chrono::milliseconds suspectLifetime = 2 * admission::CrashSuspects::crashLifetime;
constexpr std::size_t crashesToSave = 2;
// Contents that wait while the store is away; evidence against others is forgotten with the daemons.
constexpr std::size_t maxChanged = 64;
// Far more than requests that crash servers.
constexpr int maxRowsRead = 256;
// A row beyond it would hold more evidence than any decision needs.
constexpr std::size_t maxCrashesInRow = 64;
constexpr int hexadecimal = 16;

[[nodiscard]] static std::string keyOf(const admission::RequestFingerprint content)
{
    return fmt::format("{}{}", suspectPrefix, store::ExpiredRows::hashText(content));
}

[[nodiscard]] static std::optional<std::uint64_t> parseHash(const std::string_view text)
{
    std::uint64_t hash = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), hash, hexadecimal);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() ? std::optional{hash} : std::nullopt;
}

/*! @brief Returns the value of a row: the time, then a line for each crash with the caller, how it ended, and its identifier. */
[[nodiscard]] static std::string valueOf(const std::vector<admission::KnownCrash> &crashes, const WallTime wallNow)
{
    std::string value = store::ExpiredRows::stamp(wallNow);
    for (std::size_t index = 0; index < std::min(crashes.size(), maxCrashesInRow); ++index) {
        const admission::KnownCrash &known = crashes[index];
        value += fmt::format("\n{:016x} {} {}", known.caller, known.isBroken ? "broken" : "unanswered", known.crash);
    }
    return value;
}

[[nodiscard]] static std::optional<admission::KnownCrash> parseCrash(const std::string_view line)
{
    const std::size_t end = line.find(' ');
    const std::size_t name = end == std::string_view::npos ? end : line.find(' ', end + 1);
    if (name == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> caller = parseHash(line.substr(0, end));
    if (!caller.has_value()) {
        return std::nullopt;
    }
    return admission::KnownCrash{.caller = *caller, .crash = std::string{line.substr(name + 1)}, .isBroken = line.substr(end + 1, name - end - 1) == "broken"};
}

[[nodiscard]] static std::vector<admission::KnownCrash> parseCrashes(std::string_view value)
{
    std::vector<admission::KnownCrash> crashes;
    for (std::size_t end = value.find('\n'); end != std::string_view::npos; end = value.find('\n')) {
        value.remove_prefix(end + 1);
        if (std::optional<admission::KnownCrash> crash = parseCrash(value.substr(0, value.find('\n')))) {
            crashes.push_back(std::move(*crash));
        }
    }
    return crashes;
}

[[nodiscard]] static std::size_t countCrashes(const std::vector<admission::KnownCrash> &crashes)
{
    std::set<std::string_view> names;
    for (const admission::KnownCrash &known : crashes) {
        names.insert(known.crash);
    }
    return names.size();
}

} // namespace internal

SuspectRecord::SuspectRecord(const bool isFirstStart, RandomSource &random)
    : m_random{random}
    , m_backoff{internal::minRetryInterval, internal::maxRetryInterval}
    , m_isRead{isFirstStart}
    , m_expiredRows{std::string{internal::suspectPrefix}, internal::suspectLifetime, random}
{
}

void SuspectRecord::noteCrash(const admission::RequestFingerprint content)
{
    const bool isWaiting = std::find(m_changed.begin(), m_changed.end(), content) != m_changed.end();
    if (!isWaiting && m_changed.size() < internal::maxChanged) {
        m_changed.push_back(content);
    }
}

std::optional<store::Request> SuspectRecord::tick(const admission::CrashSuspects &suspects, const SteadyTime now, const WallTime wallNow)
{
    if (m_step != Step::none || now < m_nextAttempt) {
        return std::nullopt;
    }
    if (!m_isRead) {
        m_step = Step::read;
        return store::TableScan{.prefix = std::string{internal::suspectPrefix}, .after = {}, .limit = internal::maxRowsRead};
    }
    if (std::optional<store::Request> save = nextSave(suspects, now, wallNow)) {
        m_step = Step::save;
        return save;
    }
    std::optional<store::Request> cleanUp = m_expiredRows.next();
    if (cleanUp.has_value()) {
        m_step = Step::cleanUp;
    }
    return cleanUp;
}

std::optional<store::Request> SuspectRecord::nextSave(const admission::CrashSuspects &suspects, const SteadyTime now, const WallTime wallNow)
{
    while (!m_changed.empty()) {
        m_saving = m_changed.front();
        m_changed.pop_front();
        const std::vector<admission::KnownCrash> crashes = suspects.crashesOf(m_saving, now);
        if (internal::countCrashes(crashes) >= internal::crashesToSave) {
            return store::TableWrite{.conditions = {}, .writes = {{.key = internal::keyOf(m_saving), .value = internal::valueOf(crashes, wallNow)}}};
        }
    }
    return std::nullopt;
}

std::vector<RecordedSuspect> SuspectRecord::handleOutcome(const store::Outcome &outcome, const SteadyTime now, const WallTime wallNow)
{
    const Step step = std::exchange(m_step, Step::none);
    if (!outcome.has_value()) {
        m_nextAttempt = now + m_backoff.next(m_random);
        if (step == Step::save) {
            noteCrash(m_saving);
        }
        return {};
    }
    m_backoff.reset();
    switch (step) {
    case Step::read:
        m_isRead = true;
        return suspectsFrom(*outcome, wallNow);
    case Step::save:
        m_expiredRows.noteSaved();
        break;
    case Step::cleanUp:
        m_expiredRows.handleReply(*outcome, wallNow);
        break;
    case Step::none:
        break;
    }
    return {};
}

std::vector<RecordedSuspect> SuspectRecord::suspectsFrom(const store::Reply &reply, const WallTime wallNow) const
{
    std::vector<RecordedSuspect> suspects;
    const auto *const rows = std::get_if<store::RowsReply>(&reply);
    if (rows == nullptr) {
        return suspects;
    }
    for (const store::Row &row : rows->rows) {
        const std::optional<std::uint64_t> content = internal::parseHash(std::string_view{row.key}.substr(internal::suspectPrefix.size()));
        if (content.has_value() && !m_expiredRows.isExpired(row, wallNow)) {
            suspects.push_back({.content = *content, .crashes = internal::parseCrashes(row.value)});
        }
    }
    return suspects;
}

} // namespace egretlatch::decision
