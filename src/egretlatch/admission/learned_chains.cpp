#include <egretlatch/admission/learned_chains.hpp>

#include <algorithm>

namespace egretlatch::admission
{

namespace internal
{

// Runs covered by a moving average: the graph only changes with a release, and a few dozen runs take a second or less.
constexpr int samplesInMean = 20;
// Servers of one service differ in speed, and each reports its own times. Without a mean, the cost of a kind, and so its
// class, would follow the server that answered last.
constexpr int reportsInMean = 32;
// Servers differ in speed; after a few reports the mean is near enough for a class, and further ones come unasked.
constexpr int enoughReports = 4;
// Mean calls per run below which a call is dropped, so that calls that are no longer made are forgotten.
constexpr double minCallsPerRun = 0.02;

} // namespace internal

void LearnedChains::noteRun(const KindName &kind, const std::map<KindName, int> &calls, const Duration held)
{
    const bool isFirst = !m_local.contains(kind);
    LocalKind &local = m_local[kind];
    if (isFirst) {
        local.held = held;
        for (const auto &[callee, count] : calls) {
            local.calls[callee] = count;
        }
        return;
    }
    local.held += (held - local.held) / internal::samplesInMean;
    for (const auto &[callee, count] : calls) {
        local.calls.try_emplace(callee, 0.0);
    }
    for (auto &[callee, mean] : local.calls) {
        const auto made = calls.find(callee);
        const double count = made == calls.end() ? 0.0 : made->second;
        mean += (count - mean) / internal::samplesInMean;
    }
    std::erase_if(local.calls, [](const auto &entry) {
        return entry.second < internal::minCallsPerRun;
    });
}

void LearnedChains::noteChain(const KindName &kind, const SlotTimeByService &slotTimes)
{
    if (slotTimes.empty()) {
        return;
    }
    RemoteKind &remote = m_remote[kind];
    remote.reports = std::min(remote.reports + 1, internal::reportsInMean);
    for (const auto &[service, held] : slotTimes) {
        Duration &known = remote.slotTimes[service];
        // Zero means that the reporting daemon does not know the chain of that call yet.
        if (known == Duration{}) {
            known = held;
        } else if (held != Duration{}) {
            known += (held - known) / remote.reports;
        }
    }
    std::erase_if(remote.slotTimes, [&slotTimes](const auto &reached) {
        return !slotTimes.contains(reached.first);
    });
}

bool LearnedChains::needsReport(const KindName &kind) const
{
    if (m_local.contains(kind)) {
        return false;
    }
    const auto remote = m_remote.find(kind);
    if (remote == m_remote.end() || remote->second.reports < internal::enoughReports) {
        return true;
    }
    return std::any_of(remote->second.slotTimes.begin(), remote->second.slotTimes.end(), [](const auto &reached) {
        return reached.second == Duration{};
    });
}

SlotTimeByService LearnedChains::chain(const KindName &kind) const
{
    const auto local = m_local.find(kind);
    if (local != m_local.end()) {
        return chainOfLocal(kind, local->second);
    }
    const auto remote = m_remote.find(kind);
    return remote == m_remote.end() ? SlotTimeByService{} : remote->second.slotTimes;
}

SlotTimeByService LearnedChains::chainOfLocal(const KindName &kind, const LocalKind &local) const
{
    SlotTimeByService slotTimes;
    slotTimes[kind.first] = local.held;
    for (const auto &[callee, count] : local.calls) {
        const auto remote = m_remote.find(callee);
        if (remote == m_remote.end()) {
            slotTimes.try_emplace(callee.first, Duration{});
            continue;
        }
        for (const auto &[service, held] : remote->second.slotTimes) {
            slotTimes[service] += std::chrono::duration_cast<Duration>(held * count);
        }
    }
    return slotTimes;
}

std::set<std::string> LearnedChains::downstreamServices(const std::string &service) const
{
    std::set<std::string> downstream;
    for (const auto &[kind, local] : m_local) {
        if (kind.first != service) {
            continue;
        }
        for (const auto &[reached, held] : chainOfLocal(kind, local)) {
            downstream.insert(reached);
        }
    }
    downstream.erase(service);
    return downstream;
}

} // namespace egretlatch::admission
