#include <egretlatch/decision/crash_report.hpp>

#include <string_view>

#include <fmt/format.h>

namespace egretlatch::decision
{

namespace internal
{

constexpr std::string_view crashPrefix = "crash";
constexpr std::string_view successPrefix = "well";

[[nodiscard]] static CrashReport makeReport(const std::string_view prefix,
                                            const DaemonId &daemon,
                                            const Incarnation incarnation,
                                            const std::uint64_t number,
                                            const std::vector<admission::RequestFingerprint> &requests)
{
    return {.rumour = {
                .key = {.kind = membership::RumourKind::quarantine, .key = fmt::format("{}/{}/{:x}/{}", prefix, daemon.value, incarnation.value, number)},
                .version = 1,
                .payload = admission::toBytes(requests),
                .remaining = admission::CrashSuspects::crashLifetime,
            }};
}

} // namespace internal

CrashReport CrashReport::forCrash(const DaemonId &daemon,
                                  const Incarnation incarnation,
                                  const std::uint64_t number,
                                  const std::vector<admission::RequestFingerprint> &running)
{
    return internal::makeReport(internal::crashPrefix, daemon, incarnation, number, running);
}

CrashReport
CrashReport::forSuccess(const DaemonId &daemon, const Incarnation incarnation, const std::uint64_t number, const admission::RequestFingerprint request)
{
    return internal::makeReport(internal::successPrefix, daemon, incarnation, number, {request});
}

void CrashReport::apply(admission::CrashSuspects &suspects, const SteadyTime now) const
{
    const std::vector<admission::RequestFingerprint> requests = admission::fingerprintsFrom(rumour.payload);
    if (rumour.key.key.starts_with(internal::crashPrefix)) {
        suspects.noteCrash(rumour.key.key, requests, now);
        return;
    }
    for (const admission::RequestFingerprint request : requests) {
        suspects.noteRemoteSuccess(request, now);
    }
}

} // namespace egretlatch::decision
