#include <egretlatch/sidecar/gauges.hpp>

#include <fstream>
#include <map>

#include <unistd.h>

#include <fmt/format.h>

namespace egretlatch::sidecar
{

namespace internal
{

// Returns the resident memory that the kernel reports, or nothing if it cannot be read.
[[nodiscard]] static std::optional<double> residentBytes()
{
    std::ifstream statm{"/proc/self/statm"};
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    if (!(statm >> total >> resident)) {
        return std::nullopt;
    }
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

static void setMembers(const membership::Roster &roster, account::MetricsSink &metrics)
{
    using membership::MemberState;
    std::map<MemberState, int> counts{
        {MemberState::idle, 0}, {MemberState::serving, 0}, {MemberState::draining, 0}, {MemberState::suspect, 0}, {MemberState::gone, 0}};
    for (const membership::Member &member : roster.members()) {
        ++counts[member.state];
    }
    for (const auto &[state, count] : counts) {
        metrics.set(fmt::format("members{{state=\"{}\"}}", membership::toString(state)), count);
    }
}

} // namespace internal

void setGauges(const decision::Core &core, const GaugeSources &sources, const SteadyTime now, account::MetricsSink &metrics)
{
    const admission::LoadReport load = core.load();
    metrics.set("slots", sources.slots);
    metrics.set("in_flight", load.inFlight);
    metrics.set("concurrency_limit", load.limit);
    metrics.set("queued", load.queued);
    metrics.set("admission_level", load.level.priority + load.level.fraction);
    metrics.set("configuration_version", static_cast<double>(core.configurationReport().version));
    if (sources.inForceSince.has_value()) {
        metrics.set("configuration_age_seconds", std::chrono::duration<double>(now - *sources.inForceSince).count());
    }
    if (const std::optional<Duration> age = core.configurationConfirmedAge()) {
        metrics.set("configuration_confirmed_age_seconds", std::chrono::duration<double>(*age).count());
    }
    if (const std::optional<Duration> age = core.configurationProofAge()) {
        metrics.set("configuration_proven_age_seconds", std::chrono::duration<double>(*age).count());
    }
    metrics.set("departures_known", core.knowsEarlierDepartures() ? 1.0 : 0.0);
    metrics.set("quotas_short", static_cast<double>(core.countShortQuotas()));
    for (const auto &[service, retries] : core.retriesLeft()) {
        metrics.set(fmt::format("retries_left{{service=\"{}\"}}", service), retries);
    }
    internal::setMembers(core.roster(), metrics);
    const membership::PeerSilence silence = core.peerSilence();
    metrics.set("isolated", silence.isIsolated ? 1.0 : 0.0);
    metrics.set("peer_silence_seconds", std::chrono::duration<double>(silence.duration).count());
    metrics.set("log_lines_left_out", static_cast<double>(sources.logLinesOmitted));
    if (const std::optional<double> bytes = internal::residentBytes()) {
        metrics.set("resident_memory_bytes", *bytes);
    }
}

} // namespace egretlatch::sidecar
