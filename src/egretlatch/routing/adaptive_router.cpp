#include <egretlatch/routing/adaptive_router.hpp>

#include <algorithm>
#include <iterator>

#include <egretlatch/routing/subset.hpp>

namespace egretlatch::routing
{

namespace internal
{

constexpr std::size_t subsetSize = 16;
// A server in another data centre is chosen only if its expected latency, plus a penalty of 20 ms and 1 ms per kilobyte of
// the answer, is below this fraction of the local one's. Local servers aren't always preferred, because the servers of a
// service differ in speed and the only local one may be slow.
constexpr double maxFarTimeRatio = 0.75;
constexpr std::chrono::milliseconds farPenalty{20};
constexpr std::chrono::duration<double, std::milli> farPenaltyPerByte{0.001};
// Lower bound of the expected latency as a fraction of the average, whatever speed was reported.
constexpr double minTimeRatio = 0.2;
// A server that fails one call in four counts as four times as slow: a failed call is either retried or fails the whole call
// chain above it.
constexpr double failurePenalty = 12.0;
constexpr double outlierShare = 0.5;
constexpr double outlierMargin = 0.3;
constexpr int hangFactor = 3;
constexpr std::chrono::milliseconds minHangTime{50};
// A daemon that has just started discovers servers one by one; servers discovered within this time aren't treated as cold.
constexpr std::chrono::seconds startupGrace{5};

} // namespace internal

AdaptiveRouter::AdaptiveRouter(RandomSource &random)
    : m_random{random}
{
}

void AdaptiveRouter::setMembers(const std::vector<membership::Member> &members, const SteadyTime now)
{
    if (members.empty()) {
        return;
    }
    const membership::Member &self = members.front();
    m_startedAt = m_startedAt.value_or(now);
    for (auto &[id, server] : m_servers) {
        server.isServing = false;
    }
    std::map<std::string, std::vector<DaemonId>> near;
    std::map<std::string, std::vector<DaemonId>> far;
    std::map<std::string, std::vector<DaemonId>> draining;
    for (const membership::Member &member : members) {
        if (member.state == membership::MemberState::serving) {
            updateServer(member, self.dataCentre, now);
            (member.dataCentre == self.dataCentre ? near : far)[member.service].push_back(member.id);
        } else if (member.state == membership::MemberState::draining) {
            updateServer(member, self.dataCentre, now);
            draining[member.service].push_back(member.id);
        }
    }
    std::erase_if(m_servers, [this](const auto &entry) {
        if (entry.second.isServing || entry.second.record.inFlight() > 0) {
            return false;
        }
        m_services[entry.second.service].performance.forget(entry.first);
        return true;
    });
    for (auto &[name, service] : m_services) {
        service.servers.clear();
        service.draining = std::move(draining[name]);
    }
    // Local and remote servers get separate subsets, so that calls can always spill over to another data centre.
    for (auto *const group : {&near, &far}) {
        for (auto &[service, ids] : *group) {
            const std::vector<DaemonId> subset = subsetOf(self.id, std::move(ids), internal::subsetSize);
            std::vector<DaemonId> &servers = m_services[service].servers;
            servers.insert(servers.end(), subset.begin(), subset.end());
        }
    }
}

void AdaptiveRouter::updateServer(const membership::Member &member, const std::string &ownDataCentre, const SteadyTime now)
{
    const auto found = m_servers.find(member.id);
    if (found != m_servers.end() && found->second.incarnation == member.incarnation && found->second.service == member.service) {
        found->second.isNear = member.dataCentre == ownDataCentre;
        found->second.isServing = true;
        found->second.record.setSlots(member.slots);
        return;
    }
    const auto service = m_services.find(member.service);
    const bool hasPeers = service != m_services.end() && !service->second.servers.empty();
    const bool isCold = hasPeers && now - *m_startedAt > internal::startupGrace;
    Server server{
        .incarnation = member.incarnation,
        .service = member.service,
        .isNear = member.dataCentre == ownDataCentre,
        .isServing = true,
        .record = ServerRecord{member.slots, now, isCold},
    };
    m_services[member.service].performance.forget(member.id);
    m_servers.insert_or_assign(member.id, std::move(server));
}

std::optional<DaemonId> AdaptiveRouter::choose(const RouteRequest &request, const SteadyTime now)
{
    const auto service = m_services.find(request.service);
    if (service == m_services.end()) {
        return std::nullopt;
    }
    const std::vector<DaemonId> candidates = candidateServers(service->second, request, now);
    std::vector<DaemonId> near;
    std::vector<DaemonId> far;
    for (const DaemonId &id : candidates) {
        (m_servers.at(id).isNear ? near : far).push_back(id);
    }
    std::optional<Choice> chosen = betterOfTwo(service->second, request.kind, near, now);
    const std::optional<Choice> farChoice = betterOfTwo(service->second, request.kind, far, now);
    if (!chosen.has_value() || (farChoice.has_value() && isFarPreferable(service->second, request.kind, *chosen, *farChoice))) {
        chosen = farChoice;
    }
    if (!chosen.has_value()) {
        return std::nullopt;
    }
    m_servers.at(chosen->id).record.begin(request.deadline);
    return chosen->id;
}

std::vector<DaemonId> AdaptiveRouter::candidateServers(const Service &service, const RouteRequest &request, const SteadyTime now)
{
    std::vector<DaemonId> healthy;
    std::vector<DaemonId> all;
    for (const DaemonId &id : untriedServers(service, request)) {
        ServerRecord &record = m_servers.at(id).record;
        record.expire(now);
        all.push_back(id);
        if (!record.isEjected(now)) {
            healthy.push_back(id);
        }
    }
    return healthy.empty() ? all : healthy;
}

std::vector<DaemonId> AdaptiveRouter::untriedServers(const Service &service, const RouteRequest &request)
{
    std::vector<DaemonId> untried;
    const auto isUntried = [&request](const DaemonId &id) {
        return !request.excluded.contains(id);
    };
    std::copy_if(service.servers.begin(), service.servers.end(), std::back_inserter(untried), isUntried);
    if (untried.empty()) {
        // In a rolling restart of a small service, all of its servers or their daemons may be draining at once. They still
        // accept calls for a while; without this fallback every request to the service fails until one is back.
        std::copy_if(service.draining.begin(), service.draining.end(), std::back_inserter(untried), isUntried);
    }
    return untried;
}

AdaptiveRouter::Milliseconds AdaptiveRouter::expectedLatency(const Service &service, const std::string &kind, const DaemonId &id, const SteadyTime now) const
{
    const Duration average = std::max(service.averages.latency(kind), service.performance.mean(kind));
    const Duration minimum = std::chrono::duration_cast<Duration>(average * internal::minTimeRatio);
    const Milliseconds unloaded = std::max(average + service.performance.excessTime(id, kind, now), minimum);
    // Servers slow down under load, and calls beyond their slots are queued. The quadratic term keeps a single fast server
    // from getting all calls.
    const double load = m_servers.at(id).record.load(now);
    // A failed call has to be retried or fails its caller, so failures count as extra latency.
    return unloaded * (1.0 + load * load) * (1.0 + internal::failurePenalty * service.performance.failureShare(id, kind, now));
}

bool AdaptiveRouter::isFarPreferable(const Service &service, const std::string &kind, const Choice &near, const Choice &far)
{
    const Milliseconds penalty = internal::farPenalty + internal::farPenaltyPerByte * service.averages.bytes(kind);
    return far.expectedLatency + penalty < internal::maxFarTimeRatio * near.expectedLatency;
}

std::optional<AdaptiveRouter::Choice>
AdaptiveRouter::betterOfTwo(const Service &service, const std::string &kind, const std::vector<DaemonId> &candidates, const SteadyTime now)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::size_t first = m_random.below(candidates.size());
    const std::size_t step = candidates.size() == 1 ? 0 : 1 + m_random.below(candidates.size() - 1);
    const std::size_t second = (first + step) % candidates.size();
    const Milliseconds atFirst = expectedLatency(service, kind, candidates[first], now);
    const Milliseconds atSecond = expectedLatency(service, kind, candidates[second], now);
    return atSecond < atFirst ? Choice{.id = candidates[second], .expectedLatency = atSecond} : Choice{.id = candidates[first], .expectedLatency = atFirst};
}

void AdaptiveRouter::noteResult(const DaemonId &daemon, const AttemptResult &result, const SteadyTime now)
{
    const auto found = m_servers.find(daemon);
    if (found == m_servers.end()) {
        return;
    }
    Service &service = m_services[found->second.service];
    if (result.outcome == AttemptOutcome::answered) {
        service.averages.note(result.kind, result.latency, result.bytes);
    }
    found->second.record.end(result, isFailure(service, result), now);
    ejectOutlier(service, daemon, now);
}

void AdaptiveRouter::notePerformance(const DaemonId &daemon, const std::vector<admission::KindPerformance> &performance, const SteadyTime now)
{
    const auto found = m_servers.find(daemon);
    if (found == m_servers.end()) {
        return;
    }
    for (const admission::KindPerformance &entry : performance) {
        m_services[found->second.service].performance.note(daemon, entry, now);
    }
}

bool AdaptiveRouter::isFailure(const Service &service, const AttemptResult &result) const
{
    switch (result.outcome) {
    case AttemptOutcome::failed:
    case AttemptOutcome::lost:
        return true;
    case AttemptOutcome::abandoned:
        // A server that hangs would look idle to callers with short timeouts, since they abandon its attempts early. So an
        // abandoned attempt that took far longer than average counts as a failure.
        return result.latency > std::max<Duration>(internal::hangFactor * service.averages.latency(result.kind), internal::minHangTime);
    case AttemptOutcome::answered:
    case AttemptOutcome::refused:
        break;
    }
    return false;
}

void AdaptiveRouter::ejectOutlier(const Service &service, const DaemonId &daemon, const SteadyTime now)
{
    ServerRecord &record = m_servers.at(daemon).record;
    const double share = record.failureShare(now).value_or(0.0);
    if (share < internal::outlierShare || record.isEjected(now)) {
        return;
    }
    // When all servers of a service fail, the cause is elsewhere, for example in a service they depend on, and ejecting
    // servers would only overload the rest. So a server is compared with its peers, and at most half of them are ejected.
    std::size_t ejected = 0;
    std::size_t knownPeers = 0;
    double peerShares = 0.0;
    for (const DaemonId &id : service.servers) {
        if (id == daemon) {
            continue;
        }
        const ServerRecord &peer = m_servers.at(id).record;
        ejected += peer.isEjected(now) ? 1 : 0;
        if (const std::optional<double> peerShare = peer.failureShare(now)) {
            peerShares += *peerShare;
            ++knownPeers;
        }
    }
    // Peers without recent attempts aren't assumed to fail: a local server that fails fast looks idle, and would otherwise
    // keep all requests away from healthy servers in other data centres.
    const double peerShare = knownPeers == 0 ? 0.0 : peerShares / static_cast<double>(knownPeers);
    const bool isOutlier = share > peerShare + internal::outlierMargin;
    if (isOutlier && 2 * (ejected + 1) <= service.servers.size()) {
        record.eject(now);
    }
}

} // namespace egretlatch::routing
