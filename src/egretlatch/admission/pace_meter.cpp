#include <egretlatch/admission/pace_meter.hpp>

#include <algorithm>

namespace egretlatch::admission
{

namespace internal
{

// Runs of one kind differ by half their time; the mean of so many is good to a tenth, and a server that turns slow is known
// within a second at the rates of a full one.
constexpr int runsInMean = 20;
constexpr int fewestRuns = 4;
constexpr std::chrono::seconds paceLife{5};
// Kinds come with configurations and go; so many are remembered.
constexpr std::size_t mostKinds = 64;

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
    if (m_entries.size() >= internal::mostKinds && !m_entries.contains(kind)) {
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
        if (isKnown(entry, now) && paces.size() < mostTold) {
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
    return entry.runs >= internal::fewestRuns && now - entry.last < internal::paceLife;
}

} // namespace egretlatch::admission
