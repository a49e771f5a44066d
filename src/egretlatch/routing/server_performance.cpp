#include <egretlatch/routing/server_performance.hpp>

#include <algorithm>
#include <cmath>

namespace egretlatch::routing
{

namespace internal
{

// Decay time of a report. In fleets of up to twenty daemons each one receives a report from every other within this time.
constexpr std::chrono::seconds performanceDecayTime{10};
constexpr std::size_t maxKinds = 64;

} // namespace internal

void ServerPerformance::note(const DaemonId &server, const admission::KindPerformance &performance, const SteadyTime now)
{
    if (m_kinds.size() >= internal::maxKinds && !m_kinds.contains(performance.kind)) {
        m_kinds.clear();
    }
    Kind &kind = m_kinds[performance.kind];
    remove(kind, server);
    kind.servers.emplace(server, Report{.ownTime = performance.ownTime, .failureShare = performance.failureShare, .receivedAt = now});
    kind.totalOwnTime += performance.ownTime;
}

void ServerPerformance::forget(const DaemonId &server)
{
    for (auto &[name, kind] : m_kinds) {
        remove(kind, server);
    }
}

void ServerPerformance::remove(Kind &kind, const DaemonId &server)
{
    const auto found = kind.servers.find(server);
    if (found != kind.servers.end()) {
        kind.totalOwnTime -= found->second.ownTime;
        kind.servers.erase(found);
    }
}

Duration ServerPerformance::excessTime(const DaemonId &server, const std::string &kind, const SteadyTime now) const
{
    const Report *const report = find(server, kind);
    return report == nullptr ? Duration{} : std::chrono::duration_cast<Duration>((report->ownTime - mean(kind)) * weight(*report, now));
}

double ServerPerformance::failureShare(const DaemonId &server, const std::string &kind, const SteadyTime now) const
{
    const Report *const report = find(server, kind);
    return report == nullptr ? 0.0 : report->failureShare * weight(*report, now);
}

const ServerPerformance::Report *ServerPerformance::find(const DaemonId &server, const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end()) {
        return nullptr;
    }
    const auto report = found->second.servers.find(server);
    return report == found->second.servers.end() ? nullptr : &report->second;
}

double ServerPerformance::weight(const Report &report, const SteadyTime now)
{
    return std::exp(-(std::chrono::duration<double>(now - report.receivedAt) / std::chrono::duration<double>(internal::performanceDecayTime)));
}

Duration ServerPerformance::mean(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.servers.empty()) {
        return {};
    }
    return found->second.totalOwnTime / static_cast<int>(found->second.servers.size());
}

} // namespace egretlatch::routing
