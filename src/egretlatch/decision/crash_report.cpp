#include <egretlatch/decision/crash_report.hpp>

#include <algorithm>
#include <string_view>

#include <fmt/format.h>

namespace egretlatch::decision
{

namespace internal
{

// Daemons of a release before these identities read other prefixes, and ignore what they cannot match.
constexpr std::string_view crashPrefix = "ended";
constexpr std::string_view unansweredPrefix = "silent";
constexpr std::string_view successPrefix = "ran";
// Every daemon has the report within seconds. One that starts later takes a bystander for a suspect, which does no harm alone.
constexpr std::chrono::seconds successReportLifetime{30};

[[nodiscard]] static CrashReport makeReport(std::string key, const std::vector<admission::RequestIdentity> &requests, const Duration lifetime)
{
    return {.rumour = {
                .key = {.kind = membership::RumourKind::quarantine, .key = std::move(key)},
                .version = 1,
                .payload = admission::toBytes(requests),
                .remaining = lifetime,
            }};
}

[[nodiscard]] static std::vector<std::vector<admission::RequestIdentity>> partsOf(const std::vector<admission::RequestIdentity> &requests)
{
    std::vector<std::vector<admission::RequestIdentity>> parts;
    for (std::size_t first = 0; first < requests.size(); first += admission::maxIdentitiesPerMessage) {
        const std::size_t last = std::min(first + admission::maxIdentitiesPerMessage, requests.size());
        parts.emplace_back(requests.begin() + static_cast<std::ptrdiff_t>(first), requests.begin() + static_cast<std::ptrdiff_t>(last));
    }
    return parts;
}

/*! @brief Returns the identifier of the crash that a report is about: its key without the prefix and the number of the report. */
[[nodiscard]] static std::string crashOf(const std::string &key)
{
    const std::size_t begin = key.find('/') + 1;
    return key.substr(begin, key.rfind('/') - begin);
}

} // namespace internal

std::vector<CrashReport>
CrashReport::forCrash(const DaemonId &daemon, const Incarnation incarnation, const std::uint64_t number, const std::size_t reported, const CrashedRuns &running)
{
    std::vector<CrashReport> reports;
    const auto add = [&](const std::string_view prefix, const std::vector<admission::RequestIdentity> &requests) {
        for (const std::vector<admission::RequestIdentity> &part : internal::partsOf(requests)) {
            const std::string key = fmt::format("{}/{}/{:x}/{}/{}", prefix, daemon.value, incarnation.value, number, reported + reports.size());
            reports.push_back(internal::makeReport(key, part, admission::CrashSuspects::crashLifetime));
        }
    };
    add(internal::crashPrefix, running.broken);
    add(internal::unansweredPrefix, running.unanswered);
    return reports;
}

CrashReport CrashReport::forSuccess(const DaemonId &daemon,
                                    const Incarnation incarnation,
                                    const std::uint64_t number,
                                    const std::vector<admission::RequestIdentity> &requests)
{
    return internal::makeReport(
        fmt::format("{}/{}/{:x}/{}", internal::successPrefix, daemon.value, incarnation.value, number), requests, internal::successReportLifetime);
}

bool CrashReport::isOfSuccess() const
{
    return rumour.key.key.starts_with(internal::successPrefix);
}

void CrashReport::apply(admission::CrashSuspects &suspects, const SteadyTime now) const
{
    const std::string &key = rumour.key.key;
    if (key.starts_with(internal::crashPrefix)) {
        suspects.noteCrash(internal::crashOf(key), requests(), now);
        return;
    }
    if (key.starts_with(internal::unansweredPrefix)) {
        suspects.noteUnanswered(internal::crashOf(key), requests(), now);
        return;
    }
    if (!isOfSuccess()) {
        return;
    }
    for (const admission::RequestIdentity &request : requests()) {
        suspects.noteRemoteSuccess(request, now);
    }
}

} // namespace egretlatch::decision
