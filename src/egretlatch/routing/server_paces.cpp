#include <egretlatch/routing/server_paces.hpp>

#include <algorithm>
#include <cmath>

namespace egretlatch::routing
{

namespace internal
{

// A daemon hears from each other one within this time in fleets of up to twenty.
constexpr std::chrono::seconds paceMemory{10};
constexpr std::size_t mostKinds = 64;

} // namespace internal

void ServerPaces::note(const DaemonId &server, const admission::KindPace &pace, const SteadyTime now)
{
    if (m_kinds.size() >= internal::mostKinds && !m_kinds.contains(pace.kind)) {
        m_kinds.clear();
    }
    Kind &kind = m_kinds[pace.kind];
    remove(kind, server);
    kind.servers.emplace(server, Told{.own = pace.own, .failing = pace.failing, .at = now});
    kind.total += pace.own;
}

void ServerPaces::forget(const DaemonId &server)
{
    for (auto &[name, kind] : m_kinds) {
        remove(kind, server);
    }
}

void ServerPaces::remove(Kind &kind, const DaemonId &server)
{
    const auto found = kind.servers.find(server);
    if (found != kind.servers.end()) {
        kind.total -= found->second.own;
        kind.servers.erase(found);
    }
}

Duration ServerPaces::excess(const DaemonId &server, const std::string &kind, const SteadyTime now) const
{
    const Told *const told = find(server, kind);
    return told == nullptr ? Duration{} : std::chrono::duration_cast<Duration>((told->own - mean(kind)) * weight(*told, now));
}

double ServerPaces::failing(const DaemonId &server, const std::string &kind, const SteadyTime now) const
{
    const Told *const told = find(server, kind);
    return told == nullptr ? 0.0 : told->failing * weight(*told, now);
}

const ServerPaces::Told *ServerPaces::find(const DaemonId &server, const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end()) {
        return nullptr;
    }
    const auto told = found->second.servers.find(server);
    return told == found->second.servers.end() ? nullptr : &told->second;
}

double ServerPaces::weight(const Told &told, const SteadyTime now)
{
    return std::exp(-(std::chrono::duration<double>(now - told.at) / std::chrono::duration<double>(internal::paceMemory)));
}

Duration ServerPaces::mean(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.servers.empty()) {
        return {};
    }
    return found->second.total / static_cast<int>(found->second.servers.size());
}

} // namespace egretlatch::routing
