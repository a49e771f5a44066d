#ifndef EGRETLATCH_ADMISSION_LEVEL_REPORTS_HPP
#define EGRETLATCH_ADMISSION_LEVEL_REPORTS_HPP

#include <map>

#include <egretlatch/admission/reported_level.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>

namespace egretlatch::admission
{

/*! @brief Levels that the daemons of one service reported recently. */
class LevelReports
{
public:
    /**
     * @brief Records a level.
     * @param daemon Daemon that reported it.
     * @param level The level, with the time at which that daemon reported it.
     */
    void note(const DaemonId &daemon, const ReportedLevel &level);

    /**
     * @brief Returns the level of the service as a whole.
     * @param now Current time.
     * @return The median of the daemons' levels, the lower one of two; the lowest possible level if there is no recent
     * report.
     */
    [[nodiscard]] ReportedLevel aggregate(SteadyTime now);

private:
    std::map<DaemonId, ReportedLevel> m_reports;
    ReportedLevel m_aggregate;
    SteadyTime m_aggregatedAt;
};

/**
 * @brief Returns the probability that a level is ignored because of its age.
 *
 * While every request is refused, no answer brings a new report, so a level that held until the next report would hold
 * forever.
 * @param reported The level.
 * @param now Current time.
 * @return 0 for a fresh level, 1 from one second on.
 */
[[nodiscard]] double probeChance(const ReportedLevel &reported, SteadyTime now);

} // namespace egretlatch::admission

#endif
