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

} // namespace internal

std::vector<CrashReport> CrashReport::forCrash(const DaemonId &daemon,
                                               const Incarnation incarnation,
                                               const std::uint64_t number,
                                               const std::size_t reported,
                                               const std::vector<admission::RequestIdentity> &running)
{
    std::vector<CrashReport> reports;
    for (std::size_t first = 0; first < running.size(); first += admission::maxIdentitiesPerMessage) {
        const std::size_t last = std::min(first + admission::maxIdentitiesPerMessage, running.size());
        const std::vector<admission::RequestIdentity> part{running.begin() + static_cast<std::ptrdiff_t>(first),
                                                           running.begin() + static_cast<std::ptrdiff_t>(last)};
        const std::string key = fmt::format("{}/{}/{:x}/{}/{}", internal::crashPrefix, daemon.value, incarnation.value, number, reported + reports.size());
        reports.push_back(internal::makeReport(key, part, admission::CrashSuspects::crashLifetime));
    }
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

void CrashReport::apply(admission::CrashSuspects &suspects, const SteadyTime now) const
{
    const std::string &key = rumour.key.key;
    if (key.starts_with(internal::crashPrefix)) {
        suspects.noteCrash(key.substr(0, key.rfind('/')), requests(), now);
        return;
    }
    if (!key.starts_with(internal::successPrefix)) {
        return;
    }
    for (const admission::RequestIdentity &request : requests()) {
        suspects.noteRemoteSuccess(request, now);
    }
}

} // namespace egretlatch::decision
