#ifndef EGRETLATCH_CORE_LOG_SINK_HPP
#define EGRETLATCH_CORE_LOG_SINK_HPP

#include <string>
#include <string_view>

namespace egretlatch
{

/*! @brief Takes finished log lines. */
class LogSink
{
public:
    virtual ~LogSink() = default;

    /**
     * @brief Takes a line.
     * @param event What the line tells of, by which a sink may bound the volume.
     * @param line The line, with its end.
     */
    virtual void write(std::string_view event, const std::string &line) = 0;
};

/**
 * @brief Gives the sink that writes each line to standard error at once; safe to use from any thread.
 * @return The sink, which lives as long as the process.
 */
[[nodiscard]] LogSink &standardErrorSink();

} // namespace egretlatch

#endif
