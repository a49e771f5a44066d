#ifndef EGRETLATCH_CORE_LOG_SINK_HPP
#define EGRETLATCH_CORE_LOG_SINK_HPP

#include <string>
#include <string_view>

namespace egretlatch
{

/*! @brief Receives formatted log lines. */
class LogSink
{
public:
    virtual ~LogSink() = default;

    /**
     * @brief Writes a line.
     * @param event Event name of the line, by which a sink may limit the volume.
     * @param line The line, including the newline.
     */
    virtual void write(std::string_view event, const std::string &line) = 0;
};

/**
 * @brief Returns the sink that writes each line to standard error immediately; thread-safe.
 * @return The sink, which exists until the process ends.
 */
[[nodiscard]] LogSink &standardErrorSink();

} // namespace egretlatch

#endif
