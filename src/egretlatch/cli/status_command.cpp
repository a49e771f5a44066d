#include <egretlatch/cli/status_command.hpp>

#include <algorithm>
#include <map>

#include <QCoreApplication>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <egretlatch/cli/documents.hpp>
#include <egretlatch/cli/http_fetch.hpp>

namespace egretlatch::cli
{

namespace internal
{

constexpr std::size_t hashDigitsShown = 12;
constexpr double millisecondsPerSecond = 1000.0;

/*! @brief One line of the table. */
struct Line
{
    std::uint64_t version{};
    std::string hash;
    /*! @brief Age of what was heard; nothing if the daemon itself answered. */
    std::optional<std::chrono::milliseconds> age;
};

using Lines = std::map<DaemonId, Line>;

static void addHeard(const configuration::Report &report, Lines &lines)
{
    for (const configuration::ReportedVersion &heard : report.heard) {
        Line &line = lines.try_emplace(heard.daemon, Line{.version = heard.version, .hash = {}, .age = heard.age}).first->second;
        // Versions only rise, so the higher of two reports is the later one.
        if (heard.version > line.version) {
            line = {.version = heard.version, .hash = {}, .age = heard.age};
        }
    }
}

[[nodiscard]] static Lines collect(const std::vector<DaemonAnswer> &answers)
{
    Lines lines;
    for (const DaemonAnswer &answer : answers) {
        if (answer.report.has_value()) {
            addHeard(*answer.report, lines);
        }
    }
    for (const DaemonAnswer &answer : answers) {
        if (answer.report.has_value()) {
            lines[answer.report->daemon] = {.version = answer.report->version, .hash = answer.report->hash, .age = std::nullopt};
        }
    }
    return lines;
}

[[nodiscard]] static std::uint64_t newestOf(const std::vector<DaemonAnswer> &answers, const Lines &lines)
{
    std::uint64_t newest = 0;
    for (const DaemonAnswer &answer : answers) {
        newest = std::max(newest, answer.report.has_value() ? answer.report->newestKnown : 0);
    }
    for (const auto &[daemon, line] : lines) {
        newest = std::max(newest, line.version);
    }
    return newest;
}

[[nodiscard]] static std::string describe(const DaemonId &daemon, const Line &line, const std::uint64_t newest)
{
    const std::string source =
        line.age.has_value() ? fmt::format("heard {:.1f} s ago", static_cast<double>(line.age->count()) / millisecondsPerSecond) : "answered";
    const std::string lag = line.version < newest ? ", LAGS" : "";
    const std::string hash = line.hash.empty() ? "-" : line.hash.substr(0, hashDigitsShown);
    return fmt::format("{:<24} {:>8}  {:<12}  {}{}\n", daemon.value, line.version, hash, source, lag);
}

} // namespace internal

std::optional<configuration::Report> parseReport(const QByteArray &json)
{
    const QJsonObject document = QJsonDocument::fromJson(json).object();
    const QJsonValue value = document[u"configuration"];
    if (!value.isObject() || !document[u"id"].isString()) {
        return std::nullopt;
    }
    configuration::Report report;
    report.daemon = {document[u"id"].toString().toStdString()};
    report.version = static_cast<std::uint64_t>(value[u"version"].toInteger());
    report.hash = value[u"hash"].toString().toStdString();
    report.newestKnown = static_cast<std::uint64_t>(value[u"newestKnown"].toInteger());
    const QJsonArray heard = value[u"heard"].toArray();
    for (const auto &other : heard) {
        report.heard.push_back({
            .daemon = {other[u"id"].toString().toStdString()},
            .version = static_cast<std::uint64_t>(other[u"version"].toInteger()),
            .age = std::chrono::milliseconds{other[u"ageMs"].toInteger()},
        });
    }
    return report;
}

CommandResult describeFleet(const std::vector<DaemonAnswer> &answers)
{
    const internal::Lines lines = internal::collect(answers);
    const std::uint64_t newest = internal::newestOf(answers, lines);
    std::string table;
    std::size_t current = 0;
    for (const auto &[daemon, line] : lines) {
        table += internal::describe(daemon, line, newest);
        current += line.version == newest ? 1 : 0;
    }
    std::string text = fmt::format("version {} is in force on {} of {} known daemons\n", newest, current, lines.size());
    text += fmt::format("{:<24} {:>8}  {:<12}  {}\n{}", "DAEMON", "VERSION", "HASH", "SOURCE", table);
    bool areAllThere = current == lines.size();
    for (const DaemonAnswer &answer : answers) {
        if (!answer.report.has_value()) {
            text += fmt::format("{} gave no status\n", answer.url);
            areAllThere = false;
        }
    }
    return {.code = areAllThere ? ExitCode::success : ExitCode::lagging, .text = std::move(text)};
}

int runStatus(const StatusOptions &options, int argc, char **argv)
{
    const std::optional<Secret> token = readToken(options.tokenPath);
    if (!token.has_value()) {
        return ExitCode::badInput;
    }
    const QCoreApplication application{argc, argv};
    std::vector<DaemonAnswer> answers;
    bool hasAnswer = false;
    for (const std::string &url : options.daemons) {
        const Result<QByteArray> page = fetchPage(url + "/status", *token);
        if (!page.has_value()) {
            fmt::print(stderr, "{}: {}\n", url, page.error().message);
        }
        answers.push_back({.url = url, .report = page.has_value() ? parseReport(*page) : std::nullopt});
        hasAnswer = hasAnswer || answers.back().report.has_value();
    }
    const CommandResult result = describeFleet(answers);
    fmt::print("{}", result.text);
    return hasAnswer ? result.code : ExitCode::unavailable;
}

} // namespace egretlatch::cli
