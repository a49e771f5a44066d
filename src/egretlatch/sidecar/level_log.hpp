#ifndef EGRETLATCH_SIDECAR_LEVEL_LOG_HPP
#define EGRETLATCH_SIDECAR_LEVEL_LOG_HPP

#include <optional>
#include <vector>

#include <egretlatch/account/refusal.hpp>
#include <egretlatch/admission/load_report.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/logger.hpp>

namespace egretlatch::sidecar
{

/*! @brief Writes how the level of the backend server beside moves, at most once a second. */
class LevelLog
{
public:
    /**
     * @brief Builds it; nothing has been written.
     * @param logger Where the lines go; must outlive it.
     */
    explicit LevelLog(const Logger &logger);

    /**
     * @brief Says whether a line is due.
     * @param level The level as it is.
     * @param now Current time.
     * @return True if it has moved by a class, or by much of one, since the last line, and that line is old enough.
     */
    [[nodiscard]] bool isDue(const admission::Level &level, SteadyTime now) const;

    /**
     * @brief Writes a line.
     * @param load What the gate sees.
     * @param figures What its level is decided by.
     * @param now Current time.
     */
    void write(const admission::LoadReport &load, const std::vector<account::Figure> &figures, SteadyTime now);

private:
    const Logger &m_logger;
    admission::Level m_written;
    std::optional<SteadyTime> m_writtenAt;
};

} // namespace egretlatch::sidecar

#endif
