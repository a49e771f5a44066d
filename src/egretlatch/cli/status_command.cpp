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

/*! @brief A row of the table. */
struct FleetRow
{
    std::uint64_t version{};
    std::string hash;
    /*! @brief Age of the version that another daemon reported; nothing if the daemon itself answered. */
    std::optional<std::chrono::milliseconds> age;
};

using FleetRows = std::map<DaemonId, FleetRow>;

static void addReported(const configuration::Report &report, FleetRows &rows)
{
    for (const configuration::ReportedVersion &reported : report.reported) {
        FleetRow &row = rows.try_emplace(reported.daemon, FleetRow{.version = reported.version, .hash = {}, .age = reported.age}).first->second;
        // Versions only increase, so the higher of two reported versions is the later one.
        if (reported.version > row.version) {
            row = {.version = reported.version, .hash = {}, .age = reported.age};
        }
    }
}

[[nodiscard]] static FleetRows collect(const std::vector<DaemonAnswer> &answers)
{
    FleetRows rows;
    for (const DaemonAnswer &answer : answers) {
        if (answer.report.has_value()) {
            addReported(*answer.report, rows);
        }
    }
    for (const DaemonAnswer &answer : answers) {
        if (answer.report.has_value()) {
            rows[answer.report->daemon] = {.version = answer.report->version, .hash = answer.report->hash, .age = std::nullopt};
        }
    }
    return rows;
}

[[nodiscard]] static std::uint64_t newestVersion(const std::vector<DaemonAnswer> &answers, const FleetRows &rows)
{
    std::uint64_t newest = 0;
    for (const DaemonAnswer &answer : answers) {
        newest = std::max(newest, answer.report.has_value() ? answer.report->newestKnown : 0);
    }
    for (const auto &[daemon, row] : rows) {
        newest = std::max(newest, row.version);
    }
    return newest;
}

[[nodiscard]] static std::string describe(const DaemonId &daemon, const FleetRow &row, const std::uint64_t newest)
{
    const std::string source =
        row.age.has_value() ? fmt::format("heard {:.1f} s ago", static_cast<double>(row.age->count()) / millisecondsPerSecond) : "answered";
    const std::string lag = row.version < newest ? ", LAGS" : "";
    const std::string hash = row.hash.empty() ? "-" : row.hash.substr(0, hashDigitsShown);
    return fmt::format("{:<24} {:>8}  {:<12}  {}{}\n", daemon.value, row.version, hash, source, lag);
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
    const QJsonArray reported = value[u"heard"].toArray();
    for (const auto &other : reported) {
        report.reported.push_back({
            .daemon = {other[u"id"].toString().toStdString()},
            .version = static_cast<std::uint64_t>(other[u"version"].toInteger()),
            .age = std::chrono::milliseconds{other[u"ageMs"].toInteger()},
        });
    }
    return report;
}

CommandResult describeFleet(const std::vector<DaemonAnswer> &answers)
{
    const internal::FleetRows rows = internal::collect(answers);
    const std::uint64_t newest = internal::newestVersion(answers, rows);
    std::string table;
    std::size_t current = 0;
    for (const auto &[daemon, row] : rows) {
        table += internal::describe(daemon, row, newest);
        current += row.version == newest ? 1 : 0;
    }
    std::string text = fmt::format("version {} is in force on {} of {} known daemons\n", newest, current, rows.size());
    text += fmt::format("{:<24} {:>8}  {:<12}  {}\n{}", "DAEMON", "VERSION", "HASH", "SOURCE", table);
    bool isFleetCurrent = current == rows.size();
    for (const DaemonAnswer &answer : answers) {
        if (!answer.report.has_value()) {
            text += fmt::format("{} gave no status\n", answer.url);
            isFleetCurrent = false;
        }
    }
    return {.code = isFleetCurrent ? ExitCode::success : ExitCode::lagging, .text = std::move(text)};
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
