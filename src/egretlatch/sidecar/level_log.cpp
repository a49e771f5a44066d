#include <egretlatch/sidecar/level_log.hpp>

#include <cmath>

namespace egretlatch::sidecar
{

namespace internal
{

constexpr std::chrono::seconds minInterval{1};
// Fraction of a rank class.
constexpr double minFractionChange = 0.1;

} // namespace internal

LevelLog::LevelLog(const Logger &logger)
    : m_logger{logger}
{
}

bool LevelLog::isDue(const admission::Level &level, const SteadyTime now) const
{
    if (m_writtenAt.has_value() && now - *m_writtenAt < internal::minInterval) {
        return false;
    }
    return level.rankClass() != m_written.rankClass() || std::abs(level.fraction - m_written.fraction) >= internal::minFractionChange;
}

void LevelLog::write(const admission::LoadReport &load, const std::vector<account::Figure> &figures, const SteadyTime now)
{
    m_logger.info("admission level changed",
                  {{"priority", load.level.priority},
                   {"densityClass", load.level.density},
                   {"fraction", load.level.fraction},
                   {"fromPriority", m_written.priority},
                   {"fromDensityClass", m_written.density},
                   {"fromFraction", m_written.fraction},
                   {"running", load.inFlight},
                   {"limit", load.limit},
                   {"queued", load.queued},
                   {"figures", account::toText(figures)}});
    m_written = load.level;
    m_writtenAt = now;
}

} // namespace egretlatch::sidecar
