#include <egretlatch/cli/log_reader.hpp>

#include <fmt/format.h>

#include <egretlatch/cli/log_line.hpp>

namespace egretlatch::cli
{

void LogReader::read(const QByteArray &log)
{
    for (const QByteArray &text : log.split('\n')) {
        const QJsonObject fields = parseLogLine(text);
        if (fields.isEmpty()) {
            m_linesUnreadable += text.trimmed().isEmpty() ? 0 : 1;
            continue;
        }
        if (textField(fields, "event") == "lines left out") {
            m_linesOmitted += static_cast<std::uint64_t>(numberField(fields, "count"));
        }
        processLine(fields);
    }
}

std::string LogReader::describeGaps() const
{
    std::string text;
    if (m_linesOmitted > 0) {
        text += fmt::format("incomplete: the logs report that {} lines were left out\n", m_linesOmitted);
    }
    if (m_linesUnreadable > 0) {
        text += fmt::format("incomplete: {} lines could not be read\n", m_linesUnreadable);
    }
    return text;
}

void LogReader::addGapCounts(QJsonObject &document) const
{
    document[u"linesLeftOut"] = static_cast<qint64>(m_linesOmitted);
    document[u"linesUnreadable"] = static_cast<qint64>(m_linesUnreadable);
}

} // namespace egretlatch::cli
