#ifndef EGRETLATCH_ADMISSION_LEVEL_REPORTS_HPP
#define EGRETLATCH_ADMISSION_LEVEL_REPORTS_HPP

#include <map>

#include <egretlatch/admission/reported_level.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>

namespace egretlatch::admission
{

/*! @brief The levels that the daemons of one service told lately. */
class LevelReports
{
public:
    /**
     * @brief Notes a level.
     * @param daemon The daemon that told it.
     * @param level The level, with the time at which the daemon it stands at told it.
     */
    void note(const DaemonId &daemon, const ReportedLevel &level);

    /**
     * @brief Gives the level of the service as a whole.
     * @param now Current time.
     * @return The median of the daemons' levels, the lower one of two; the lowest where nothing recent was told.
     */
    [[nodiscard]] ReportedLevel aggregate(SteadyTime now);

private:
    std::map<DaemonId, ReportedLevel> m_notes;
    ReportedLevel m_aggregate;
    SteadyTime m_aggregatedAt;
};

/**
 * @brief Gives the chance that a level is disregarded for its age.
 *
 * Where everything is refused nothing is told any more, and a level that stood until news came would stand for ever.
 * @param noted The level.
 * @param now Current time.
 * @return 0 for a fresh level, 1 from one second on.
 */
[[nodiscard]] double probeChance(const ReportedLevel &reported, SteadyTime now);

} // namespace egretlatch::admission

#endif
