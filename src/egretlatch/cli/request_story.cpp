#include <egretlatch/cli/request_story.hpp>

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

// Figures of a line, as in `queued=7 limit=11`.
[[nodiscard]] static std::vector<account::Figure> figuresFrom(const QString &text)
{
    std::vector<account::Figure> figures;
    for (const QString &part : text.split(u' ', Qt::SkipEmptyParts)) {
        const qsizetype equals = part.indexOf(u'=');
        figures.push_back({.name = part.left(equals).toStdString(), .value = part.mid(equals + 1).toDouble()});
    }
    return figures;
}

[[nodiscard]] static account::RefusalRecord recordFrom(const StoryLine &line)
{
    const QJsonObject &fields = line.fields;
    account::RefusalRecord record;
    record.refusal.reason = account::refusalReasonFromString(textOf(fields, "reason")).value_or(account::RefusalReason::serverLost);
    record.refusal.rule = textOf(fields, "rule");
    record.refusal.figures = figuresFrom(fields[u"figures"].toString());
    record.refusal.retryAfter = std::chrono::milliseconds{numberOf(fields, "retryAfterMs")};
    record.refusal.configurationVersion = static_cast<std::uint64_t>(numberOf(fields, "configuration"));
    record.verdict = verdictFromString(textOf(fields, "verdict")).value_or(Verdict::mayHaveRun);
    record.service = textOf(fields, "service");
    record.kind = textOf(fields, "kind");
    record.priority = static_cast<int>(numberOf(fields, "priority"));
    record.worth = fields[u"worth"].toString().toDouble();
    const QDateTime time = QDateTime::fromString(QString::fromStdString(line.time), Qt::ISODateWithMs);
    record.time = WallTime{std::chrono::milliseconds{time.toMSecsSinceEpoch()}};
    return record;
}

[[nodiscard]] static std::string sentenceOf(const StoryLine &line)
{
    const std::string server = textOf(line.fields, "server");
    const std::string asked = server.empty() ? std::string{"no daemon was asked"} : fmt::format("daemon {} was asked last", server);
    const std::string elapsed = textOf(line.fields, "elapsedMs");
    if (line.event == "refused") {
        return fmt::format("{} That was {} ms after it came; {}.", account::toSentence(recordFrom(line)), elapsed, asked);
    }
    return fmt::format("{} {}/{}, {} ms after it came; {}: {}.",
                       line.event,
                       textOf(line.fields, "service"),
                       textOf(line.fields, "kind"),
                       elapsed,
                       asked,
                       textOf(line.fields, "reason"));
}

} // namespace internal

RequestStory::RequestStory(std::string request)
    : m_request{std::move(request)}
{
}

void RequestStory::take(const QJsonObject &fields)
{
    const std::string request = textOf(fields, "request");
    if (isPart(request)) {
        m_lines.push_back(
            {.time = textOf(fields, "time"), .daemon = textOf(fields, "source"), .event = textOf(fields, "event"), .request = request, .fields = fields});
    }
}

std::vector<StoryLine> RequestStory::lines() const
{
    std::vector<StoryLine> lines = m_lines;
    // Within a millisecond the end of an inner call comes before that of its request.
    std::stable_sort(lines.begin(), lines.end(), [this](const StoryLine &one, const StoryLine &other) {
        return one.time != other.time ? one.time < other.time : depthOf(one.request) > depthOf(other.request);
    });
    return lines;
}

CommandResult RequestStory::inSentences() const
{
    std::string text;
    for (const StoryLine &line : lines()) {
        const std::size_t depth = depthOf(line.request);
        const std::string name = depth == 0 ? line.request : "inner call ..." + line.request.substr(line.request.rfind('.') + 1);
        text += fmt::format("{:{}}{} {}, {}: {}\n", "", depth * internal::indentWidth, line.time, line.daemon, name, internal::sentenceOf(line));
    }
    if (m_lines.empty()) {
        text = fmt::format("no line tells of {}: it went well, or it never came to these daemons\n", m_request);
    }
    text += missing();
    return {.code = m_lines.empty() ? ExitCode::notFound : ExitCode::success, .text = std::move(text)};
}

CommandResult RequestStory::asJson() const
{
    QJsonArray told;
    for (const StoryLine &line : lines()) {
        QJsonObject object = line.fields;
        object[u"depth"] = static_cast<qint64>(depthOf(line.request));
        told.append(object);
    }
    QJsonObject document{{u"request"_qs, QString::fromStdString(m_request)}, {u"lines"_qs, told}};
    addMissing(document);
    return {.code = m_lines.empty() ? ExitCode::notFound : ExitCode::success, .text = QJsonDocument{document}.toJson().toStdString()};
}

bool RequestStory::isPart(const std::string &request) const
{
    return request == m_request || request.starts_with(m_request + ".");
}

std::size_t RequestStory::depthOf(const std::string &request) const
{
    return static_cast<std::size_t>(std::count(request.begin() + static_cast<std::ptrdiff_t>(m_request.size()), request.end(), '.'));
}

} // namespace egretlatch::cli
