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

/*! @brief Severity of a log line. */
enum class LogLevel {
    debug,
    info,
    warning,
    error,
};

/**
 * @brief Parses the name of a level.
 * @param name One of `debug`, `info`, `warning`, `error`.
 * @return The level, or nothing for any other name.
 */
[[nodiscard]] std::optional<LogLevel> logLevelFromString(std::string_view name) noexcept;

/*! @brief Named value in a log line. */
struct LogField
{
    /**
     * @brief Constructs a field from any type that fmt can format.
     * @param fieldName Name without spaces.
     * @param fieldValue The value; written as a JSON string unless it is a number.
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

/*! @brief Writes structured log lines, by default to standard error; thread-safe if its sink is. */
class Logger
{
public:
    /**
     * @brief Constructs a logger.
     * @param minLevel Lines below this level are dropped.
     * @param source Name included in each line, such as the daemon's.
     * @param sink Receives the lines; must outlive the logger.
     */
    Logger(LogLevel minLevel, std::string source, LogSink &sink = standardErrorSink())
        : m_minLevel{minLevel}
        , m_source{std::move(source)}
        , m_sink{sink}
    {
    }

    /**
     * @brief Writes a line if its level is high enough.
     * @param level Severity.
     * @param event Event name: a few constant words.
     * @param fields Variable parts.
     */
    void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {}) const;

    /**
     * @brief Formats a line without writing it.
     * @param level Severity.
     * @param event Event name: a few constant words.
     * @param fields Variable parts.
     * @return The line, including the newline.
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
