#include <egretlatch/cli/log_reader.hpp>

#include <fmt/format.h>

#include <egretlatch/cli/log_line.hpp>

namespace egretlatch::cli
{

void LogReader::read(const QByteArray &log)
{
    for (const QByteArray &text : log.split('\n')) {
        const QJsonObject fields = fieldsOf(text);
        if (fields.isEmpty()) {
            m_unreadable += text.trimmed().isEmpty() ? 0 : 1;
            continue;
        }
        if (textOf(fields, "event") == "lines left out") {
            m_leftOut += static_cast<std::uint64_t>(numberOf(fields, "count"));
        }
        take(fields);
    }
}

std::string LogReader::missing() const
{
    std::string text;
    if (m_leftOut > 0) {
        text += fmt::format("not whole: these logs say that {} lines were left out\n", m_leftOut);
    }
    if (m_unreadable > 0) {
        text += fmt::format("not whole: {} lines could not be read\n", m_unreadable);
    }
    return text;
}

void LogReader::addMissing(QJsonObject &document) const
{
    document[u"linesLeftOut"] = static_cast<qint64>(m_leftOut);
    document[u"linesUnreadable"] = static_cast<qint64>(m_unreadable);
}

} // namespace egretlatch::cli
