#include <egretlatch/admission/pace_meter.hpp>

#include <algorithm>

namespace egretlatch::admission
{

namespace internal
{

// Run times of one kind vary by half; the mean of 20 runs is accurate to a tenth, and a server that becomes slow is
// detected within a second at the request rate of a fully loaded server.
constexpr int runsInMean = 20;
constexpr int minRuns = 4;
constexpr std::chrono::seconds paceLifetime{5};
// Bounds the memory for kinds, which come and go with configurations.
constexpr std::size_t maxKinds = 64;

} // namespace internal

void PaceMeter::noteCompleted(const std::string &kind, const Duration own, const SteadyTime now)
{
    Entry &entry = entryOf(kind);
    entry.runs = std::min(entry.runs + 1, internal::runsInMean);
    entry.own += (own - entry.own) / entry.runs;
    entry.failing -= entry.failing / internal::runsInMean;
    entry.last = now;
}

void PaceMeter::noteFailed(const std::string &kind, const SteadyTime now)
{
    Entry &entry = entryOf(kind);
    entry.runs = std::min(entry.runs + 1, internal::runsInMean);
    entry.failing += (1.0 - entry.failing) / internal::runsInMean;
    entry.last = now;
}

PaceMeter::Entry &PaceMeter::entryOf(const std::string &kind)
{
    if (m_entries.size() >= internal::maxKinds && !m_entries.contains(kind)) {
        m_entries.clear();
    }
    return m_entries[kind];
}

void PaceMeter::noteAbandoned(const std::string &kind, const Duration own, const SteadyTime now)
{
    const auto found = m_entries.find(kind);
    if (found != m_entries.end() && own > found->second.own) {
        noteCompleted(kind, own, now);
    }
}

std::optional<KindPace> PaceMeter::paceAt(const std::string &kind, const SteadyTime now) const
{
    const auto found = m_entries.find(kind);
    if (found == m_entries.end() || !isKnown(found->second, now)) {
        return std::nullopt;
    }
    return KindPace{.kind = kind, .own = found->second.own, .failing = found->second.failing};
}

std::vector<KindPace> PaceMeter::paces(const SteadyTime now) const
{
    std::vector<KindPace> paces;
    for (const auto &[kind, entry] : m_entries) {
        if (isKnown(entry, now) && paces.size() < maxReportedPaces) {
            paces.push_back({.kind = kind, .own = entry.own, .failing = entry.failing});
        }
    }
    return paces;
}

void PaceMeter::clear()
{
    m_entries.clear();
}

bool PaceMeter::isKnown(const Entry &entry, const SteadyTime now)
{
    return entry.runs >= internal::minRuns && now - entry.last < internal::paceLifetime;
}

} // namespace egretlatch::admission
