#ifndef EGRETLATCH_CLI_LOG_LINE_HPP
#define EGRETLATCH_CLI_LOG_LINE_HPP

#include <string>

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace egretlatch::cli
{

/**
 * @brief Parses a line of a daemon's log; any text before the first brace, such as a log collector's timestamp, is skipped.
 * @param line The line.
 * @return Its fields; an empty object if it is not a log line.
 */
[[nodiscard]] inline QJsonObject parseLogLine(const QByteArray &line)
{
    const qsizetype brace = line.indexOf('{');
    return brace < 0 ? QJsonObject{} : QJsonDocument::fromJson(line.mid(brace)).object();
}

/**
 * @brief Returns a field as text.
 * @param fields Fields of a line.
 * @param name Name of the field.
 * @return The text; empty if the line has no such field.
 */
[[nodiscard]] inline std::string textField(const QJsonObject &fields, const char *const name)
{
    return fields[QLatin1String{name}].toString().toStdString();
}

/**
 * @brief Returns a field as a number; log lines carry numbers as text.
 * @param fields Fields of a line.
 * @param name Name of the field.
 * @return The number; zero if the line has no such field.
 */
[[nodiscard]] inline qint64 numberField(const QJsonObject &fields, const char *const name)
{
    return fields[QLatin1String{name}].toString().toLongLong();
}

} // namespace egretlatch::cli

#endif
