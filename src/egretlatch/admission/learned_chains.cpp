#include <egretlatch/admission/learned_chains.hpp>

#include <algorithm>

namespace egretlatch::admission
{

namespace internal
{

// Runs that an average reaches back over: a graph changes with a release, and a few dozen runs take a second or less.
constexpr int samplesInMean = 20;
// Servers of one service differ in speed, and each tells of its own. Without a mean, a kind's cost, and with it its place in
// the order, would change with each server that answers last.
constexpr int tellingsInMean = 32;
// Calls for each run below which a call counts as none, so that what is no longer made is forgotten.
constexpr double fewestCalls = 0.02;

} // namespace internal

void LearnedChains::noteRun(const KindName &kind, const std::map<KindName, int> &calls, const Duration held)
{
    const bool isFirst = !m_seen.contains(kind);
    Seen &seen = m_seen[kind];
    if (isFirst) {
        seen.held = held;
        for (const auto &[callee, count] : calls) {
            seen.calls[callee] = count;
        }
        return;
    }
    seen.held += (held - seen.held) / internal::samplesInMean;
    for (const auto &[callee, count] : calls) {
        seen.calls.try_emplace(callee, 0.0);
    }
    for (auto &[callee, mean] : seen.calls) {
        const auto made = calls.find(callee);
        const double count = made == calls.end() ? 0.0 : made->second;
        mean += (count - mean) / internal::samplesInMean;
    }
    std::erase_if(seen.calls, [](const auto &entry) {
        return entry.second < internal::fewestCalls;
    });
}

void LearnedChains::noteChain(const KindName &kind, const SlotTimeByService &stops)
{
    if (stops.empty()) {
        return;
    }
    Told &told = m_told[kind];
    told.tellings = std::min(told.tellings + 1, internal::tellingsInMean);
    for (const auto &[service, held] : stops) {
        Duration &known = told.stops[service];
        // Nothing is told of a call whose own chain is not known yet.
        if (known == Duration{}) {
            known = held;
        } else if (held != Duration{}) {
            known += (held - known) / told.tellings;
        }
    }
    std::erase_if(told.stops, [&stops](const auto &stop) {
        return !stops.contains(stop.first);
    });
}

SlotTimeByService LearnedChains::chain(const KindName &kind) const
{
    const auto seen = m_seen.find(kind);
    if (seen != m_seen.end()) {
        return chainOfSeen(kind, seen->second);
    }
    const auto told = m_told.find(kind);
    return told == m_told.end() ? SlotTimeByService{} : told->second.stops;
}

SlotTimeByService LearnedChains::chainOfSeen(const KindName &kind, const Seen &seen) const
{
    SlotTimeByService stops;
    stops[kind.first] = seen.held;
    for (const auto &[callee, count] : seen.calls) {
        const auto told = m_told.find(callee);
        if (told == m_told.end()) {
            stops.try_emplace(callee.first, Duration{});
            continue;
        }
        for (const auto &[service, held] : told->second.stops) {
            stops[service] += std::chrono::duration_cast<Duration>(held * count);
        }
    }
    return stops;
}

std::set<std::string> LearnedChains::downstreamServices(const std::string &service) const
{
    std::set<std::string> below;
    for (const auto &[kind, seen] : m_seen) {
        if (kind.first != service) {
            continue;
        }
        for (const auto &[stop, held] : chainOfSeen(kind, seen)) {
            below.insert(stop);
        }
    }
    below.erase(service);
    return below;
}

} // namespace egretlatch::admission
