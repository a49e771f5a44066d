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

/*! @brief Logs changes of the local backend server's admission level, at most once a second. */
class LevelLog
{
public:
    /**
     * @brief Builds the log; no line has been written yet.
     * @param logger Receives the lines; must outlive it.
     */
    explicit LevelLog(const Logger &logger);

    /**
     * @brief Checks if a line is due.
     * @param level Current level.
     * @param now Current time.
     * @return True if the last line is at least a second old and the level has changed by a rank class, or by a tenth of one,
     * since.
     */
    [[nodiscard]] bool isDue(const admission::Level &level, SteadyTime now) const;

    /**
     * @brief Writes a line.
     * @param load Load and level that the admission gate reports.
     * @param figures Values that determine the level.
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
