#ifndef EGRETLATCH_CLI_LOG_LINE_HPP
#define EGRETLATCH_CLI_LOG_LINE_HPP

#include <string>

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace egretlatch::cli
{

/**
 * @brief Reads a line of a daemon's log; what stands before its first brace, as a collector's own stamp, is passed over.
 * @param line The line.
 * @return Its fields; none if it is no log line.
 */
[[nodiscard]] inline QJsonObject parseLogLine(const QByteArray &line)
{
    const qsizetype brace = line.indexOf('{');
    return brace < 0 ? QJsonObject{} : QJsonDocument::fromJson(line.mid(brace)).object();
}

/**
 * @brief Gives a field as text.
 * @param fields Fields of a line.
 * @param name Name of the field.
 * @return Empty if the line has no such field.
 */
[[nodiscard]] inline std::string textField(const QJsonObject &fields, const char *const name)
{
    return fields[QLatin1String{name}].toString().toStdString();
}

/**
 * @brief Gives a field as a number; log lines carry numbers as texts.
 * @param fields Fields of a line.
 * @param name Name of the field.
 * @return Zero if the line has no such field.
 */
[[nodiscard]] inline qint64 numberField(const QJsonObject &fields, const char *const name)
{
    return fields[QLatin1String{name}].toString().toLongLong();
}

} // namespace egretlatch::cli

#endif
