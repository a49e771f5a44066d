#ifndef EGRETLATCH_CORE_LOGGER_HPP
#define EGRETLATCH_CORE_LOGGER_HPP

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include <egretlatch/core/log_sink.hpp>

namespace egretlatch
{

/*! @brief How much a log line matters. */
enum class LogLevel {
    debug,
    info,
    warning,
    error,
};

/**
 * @brief Reads a level by its name.
 * @param name One of `debug`, `info`, `warning`, `error`.
 * @return The level, or nothing for any other name.
 */
[[nodiscard]] std::optional<LogLevel> logLevelFromString(std::string_view name) noexcept;

/*! @brief A named value of a log line. */
struct LogField
{
    /**
     * @brief Builds a field from anything that fmt can print.
     * @param fieldName Name without spaces.
     * @param fieldValue The value; printed as a JSON string where it is not a number.
     */
    template<typename Type>
    LogField(std::string_view fieldName, const Type &fieldValue)
        : name{fieldName}
        , value{fmt::format("{}", fieldValue)}
    {
    }

    std::string_view name;
    std::string value;
};

/*! @brief Writes structured lines, by default to standard error; as safe to use from several threads as its sink is. */
class Logger
{
public:
    /**
     * @brief Builds a logger.
     * @param least Lines below this level are dropped.
     * @param source Name that each line carries, such as the daemon's.
     * @param sink Takes the lines; must outlive the logger.
     */
    Logger(LogLevel minLevel, std::string source, LogSink &sink = standardErrorSink())
        : m_minLevel{minLevel}
        , m_source{std::move(source)}
        , m_sink{sink}
    {
    }

    /**
     * @brief Writes one line.
     * @param level How much it matters.
     * @param event What happened, in a few words without variable parts.
     * @param fields The variable parts.
     */
    void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {}) const;

    /**
     * @brief Gives a line without writing it.
     * @param level How much it matters.
     * @param event What happened, in a few words without variable parts.
     * @param fields The variable parts.
     * @return The line with its end.
     */
    [[nodiscard]] std::string line(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) const;

    void debug(std::string_view event, std::initializer_list<LogField> fields = {}) const
    {
        log(LogLevel::debug, event, fields);
    }

    void info(std::string_view event, std::initializer_list<LogField> fields = {}) const
    {
        log(LogLevel::info, event, fields);
    }

    void warning(std::string_view event, std::initializer_list<LogField> fields = {}) const
    {
        log(LogLevel::warning, event, fields);
    }

    void error(std::string_view event, std::initializer_list<LogField> fields = {}) const
    {
        log(LogLevel::error, event, fields);
    }

private:
    LogLevel m_minLevel;
    std::string m_source;
    LogSink &m_sink;
};

} // namespace egretlatch

#endif
