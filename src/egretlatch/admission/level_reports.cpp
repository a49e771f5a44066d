#include <egretlatch/admission/level_reports.hpp>

#include <algorithm>
#include <vector>

namespace egretlatch::admission
{

namespace internal
{

constexpr std::chrono::milliseconds maxAge{1000};
constexpr std::chrono::milliseconds freshAge{100};
constexpr std::chrono::milliseconds comparableAge{100};
constexpr std::chrono::milliseconds aggregateInterval{5};

} // namespace internal

void LevelReports::note(const DaemonId &daemon, const ReportedLevel &level)
{
    m_reports[daemon] = level;
}

ReportedLevel LevelReports::aggregate(const SteadyTime now)
{
    if (now - m_aggregatedAt < internal::aggregateInterval) {
        return m_aggregate;
    }
    m_aggregatedAt = now;
    std::erase_if(m_reports, [now](const auto &entry) {
        return now - entry.second.at >= internal::maxAge;
    });
    m_aggregate = {};
    if (m_reports.empty()) {
        return m_aggregate;
    }
    for (const auto &[daemon, reported] : m_reports) {
        m_aggregate.at = std::max(m_aggregate.at, reported.at);
    }
    std::vector<Level> levels;
    for (const auto &[daemon, reported] : m_reports) {
        // The level of a server that did not report while its peers did is out of date.
        if (m_aggregate.at - reported.at < internal::comparableAge) {
            levels.push_back(reported.level);
        }
    }
    const auto median = levels.begin() + static_cast<std::ptrdiff_t>((levels.size() - 1) / 2);
    std::nth_element(levels.begin(), median, levels.end(), [](const Level &left, const Level &right) {
        return left < right;
    });
    m_aggregate.level = *median;
    return m_aggregate;
}

double probeChance(const ReportedLevel &reported, const SteadyTime now)
{
    const Duration age = now - reported.at;
    if (age <= internal::freshAge) {
        return 0.0;
    }
    const Duration span = internal::maxAge - internal::freshAge;
    const double share = std::min(1.0, std::chrono::duration<double>(age - internal::freshAge) / std::chrono::duration<double>(span));
    return share * share;
}

} // namespace egretlatch::admission
