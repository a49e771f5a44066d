#include <egretlatch/cli/request_timeline.hpp>

#include <algorithm>

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>

#include <fmt/format.h>

#include <egretlatch/account/refusal_record.hpp>
#include <egretlatch/cli/exit_code.hpp>
#include <egretlatch/cli/log_line.hpp>

namespace egretlatch::cli
{

namespace internal
{

constexpr std::size_t indentWidth = 4;

// Parses the figures of a line, such as `queued=7 limit=11`.
[[nodiscard]] static std::vector<account::Figure> figuresFrom(const QString &text)
{
    std::vector<account::Figure> figures;
    for (const QString &part : text.split(u' ', Qt::SkipEmptyParts)) {
        const qsizetype equals = part.indexOf(u'=');
        figures.push_back({.name = part.left(equals).toStdString(), .value = part.mid(equals + 1).toDouble()});
    }
    return figures;
}

[[nodiscard]] static account::RefusalRecord recordFrom(const RequestLogLine &line)
{
    const QJsonObject &fields = line.fields;
    account::RefusalRecord record;
    record.refusal.reason = account::refusalReasonFromString(textField(fields, "reason")).value_or(account::RefusalReason::serverLost);
    record.refusal.rule = textField(fields, "rule");
    record.refusal.figures = figuresFrom(fields[u"figures"].toString());
    record.refusal.retryAfter = std::chrono::milliseconds{numberField(fields, "retryAfterMs")};
    record.refusal.configurationVersion = static_cast<std::uint64_t>(numberField(fields, "configuration"));
    record.verdict = verdictFromString(textField(fields, "verdict")).value_or(Verdict::mayHaveRun);
    record.service = textField(fields, "service");
    record.kind = textField(fields, "kind");
    record.priority = static_cast<int>(numberField(fields, "priority"));
    record.worth = fields[u"worth"].toString().toDouble();
    const QDateTime time = QDateTime::fromString(QString::fromStdString(line.time), Qt::ISODateWithMs);
    record.time = WallTime{std::chrono::milliseconds{time.toMSecsSinceEpoch()}};
    return record;
}

[[nodiscard]] static std::string sentenceOf(const RequestLogLine &line)
{
    const std::string server = textField(line.fields, "server");
    const std::string lastDaemon = server.empty() ? std::string{"it was sent to no daemon"} : fmt::format("it was last sent to daemon {}", server);
    const std::string elapsed = textField(line.fields, "elapsedMs");
    if (line.event == "refused") {
        return fmt::format("{} That was {} ms after it arrived; {}.", account::toSentence(recordFrom(line)), elapsed, lastDaemon);
    }
    return fmt::format("{} {}/{}, {} ms after it arrived; {}: {}.",
                       line.event,
                       textField(line.fields, "service"),
                       textField(line.fields, "kind"),
                       elapsed,
                       lastDaemon,
                       textField(line.fields, "reason"));
}

} // namespace internal

RequestTimeline::RequestTimeline(std::string request)
    : m_request{std::move(request)}
{
}

void RequestTimeline::processLine(const QJsonObject &fields)
{
    const std::string request = textField(fields, "request");
    if (belongsToRequest(request)) {
        m_lines.push_back({.time = textField(fields, "time"),
                           .daemon = textField(fields, "source"),
                           .event = textField(fields, "event"),
                           .request = request,
                           .fields = fields});
    }
}

std::vector<RequestLogLine> RequestTimeline::lines() const
{
    std::vector<RequestLogLine> lines = m_lines;
    // Within one millisecond, an inner call ends before its parent request.
    std::stable_sort(lines.begin(), lines.end(), [this](const RequestLogLine &one, const RequestLogLine &other) {
        return one.time != other.time ? one.time < other.time : depthOf(one.request) > depthOf(other.request);
    });
    return lines;
}

CommandResult RequestTimeline::asText() const
{
    std::string text;
    for (const RequestLogLine &line : lines()) {
        const std::size_t depth = depthOf(line.request);
        const std::string name = depth == 0 ? line.request : "inner call ..." + line.request.substr(line.request.rfind('.') + 1);
        text += fmt::format("{:{}}{} {}, {}: {}\n", "", depth * internal::indentWidth, line.time, line.daemon, name, internal::sentenceOf(line));
    }
    if (m_lines.empty()) {
        text = fmt::format("no log line mentions {}: it succeeded, or it never reached these daemons\n", m_request);
    }
    text += describeGaps();
    return {.code = m_lines.empty() ? ExitCode::notFound : ExitCode::success, .text = std::move(text)};
}

CommandResult RequestTimeline::asJson() const
{
    QJsonArray array;
    for (const RequestLogLine &line : lines()) {
        QJsonObject object = line.fields;
        object[u"depth"] = static_cast<qint64>(depthOf(line.request));
        array.append(object);
    }
    QJsonObject document{{u"request"_qs, QString::fromStdString(m_request)}, {u"lines"_qs, array}};
    addGapCounts(document);
    return {.code = m_lines.empty() ? ExitCode::notFound : ExitCode::success, .text = QJsonDocument{document}.toJson().toStdString()};
}

bool RequestTimeline::belongsToRequest(const std::string &request) const
{
    return request == m_request || request.starts_with(m_request + ".");
}

std::size_t RequestTimeline::depthOf(const std::string &request) const
{
    return static_cast<std::size_t>(std::count(request.begin() + static_cast<std::ptrdiff_t>(m_request.size()), request.end(), '.'));
}

} // namespace egretlatch::cli
