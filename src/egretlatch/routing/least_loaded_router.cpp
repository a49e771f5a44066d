#include <egretlatch/routing/least_loaded_router.hpp>

#include <algorithm>

namespace egretlatch::routing
{

LeastLoadedRouter::LeastLoadedRouter(RandomSource &random)
    : m_random{random}
{
}

void LeastLoadedRouter::setMembers(const std::vector<membership::Member> &members, const SteadyTime /*now*/)
{
    m_servers.clear();
    for (const membership::Member &member : members) {
        if (member.state == membership::MemberState::serving) {
            m_servers[member.service].push_back(member.id);
        }
    }
}

std::optional<DaemonId> LeastLoadedRouter::choose(const RouteRequest &request, const SteadyTime /*now*/)
{
    const auto servers = m_servers.find(request.service);
    if (servers == m_servers.end()) {
        return std::nullopt;
    }
    std::vector<DaemonId> candidates;
    std::copy_if(servers->second.begin(), servers->second.end(), std::back_inserter(candidates), [&request](const DaemonId &id) {
        return !request.excluded.contains(id);
    });
    if (candidates.empty()) {
        return std::nullopt;
    }
    const DaemonId &first = candidates[m_random.below(candidates.size())];
    const DaemonId &second = candidates[m_random.below(candidates.size())];
    const DaemonId chosen = m_inFlight[second] < m_inFlight[first] ? second : first;
    ++m_inFlight[chosen];
    return chosen;
}

void LeastLoadedRouter::noteResult(const DaemonId &daemon, const AttemptResult & /*result*/, const SteadyTime /*now*/)
{
    const auto found = m_inFlight.find(daemon);
    if (found != m_inFlight.end() && found->second > 0) {
        --found->second;
    }
}

} // namespace egretlatch::routing
