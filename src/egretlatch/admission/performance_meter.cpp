#include <egretlatch/admission/performance_meter.hpp>

#include <algorithm>

namespace egretlatch::admission
{

namespace internal
{

// Run times of one kind vary by half; the mean of 20 runs is accurate to a tenth, and a server that becomes slow is
// detected within a second at the request rate of a fully loaded server.
constexpr int runsInMean = 20;
constexpr int minRuns = 4;
constexpr std::chrono::seconds performanceLifetime{5};
// Bounds the memory for kinds, which come and go with configurations.
constexpr std::size_t maxKinds = 64;

} // namespace internal

void PerformanceMeter::noteCompleted(const std::string &kind, const Duration ownTime, const SteadyTime now)
{
    Entry &entry = entryOf(kind);
    entry.runs = std::min(entry.runs + 1, internal::runsInMean);
    entry.ownTime += (ownTime - entry.ownTime) / entry.runs;
    entry.failureShare -= entry.failureShare / internal::runsInMean;
    entry.last = now;
}

void PerformanceMeter::noteFailed(const std::string &kind, const SteadyTime now)
{
    Entry &entry = entryOf(kind);
    entry.runs = std::min(entry.runs + 1, internal::runsInMean);
    entry.failureShare += (1.0 - entry.failureShare) / internal::runsInMean;
    entry.last = now;
}

PerformanceMeter::Entry &PerformanceMeter::entryOf(const std::string &kind)
{
    if (m_entries.size() >= internal::maxKinds && !m_entries.contains(kind)) {
        m_entries.clear();
    }
    return m_entries[kind];
}

void PerformanceMeter::noteAbandoned(const std::string &kind, const Duration ownTime, const SteadyTime now)
{
    const auto found = m_entries.find(kind);
    if (found != m_entries.end() && ownTime > found->second.ownTime) {
        noteCompleted(kind, ownTime, now);
    }
}

std::optional<KindPerformance> PerformanceMeter::performanceOf(const std::string &kind, const SteadyTime now) const
{
    const auto found = m_entries.find(kind);
    if (found == m_entries.end() || !isKnown(found->second, now)) {
        return std::nullopt;
    }
    return KindPerformance{.kind = kind, .ownTime = found->second.ownTime, .failureShare = found->second.failureShare};
}

std::vector<KindPerformance> PerformanceMeter::performance(const SteadyTime now) const
{
    std::vector<KindPerformance> reported;
    for (const auto &[kind, entry] : m_entries) {
        if (isKnown(entry, now) && reported.size() < maxReportedKinds) {
            reported.push_back({.kind = kind, .ownTime = entry.ownTime, .failureShare = entry.failureShare});
        }
    }
    return reported;
}

void PerformanceMeter::clear()
{
    m_entries.clear();
}

bool PerformanceMeter::isKnown(const Entry &entry, const SteadyTime now)
{
    return entry.runs >= internal::minRuns && now - entry.last < internal::performanceLifetime;
}

} // namespace egretlatch::admission
