#include <egretlatch/platform/server_report.hpp>

#include <cmath>
#include <optional>

#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <egretlatch/platform/duration_text.hpp>
#include <egretlatch/platform/names.hpp>

namespace egretlatch::platform
{

namespace internal
{

constexpr std::string_view heartbeatSuffix = "/heartbeat";
constexpr std::string_view deregisterSuffix = "/deregister";
constexpr double maxSlots = 100'000.0;
// 2^53, up to which a double holds every integer exactly; far above any calendar time in milliseconds.
constexpr double maxExactInteger = 9'007'199'254'740'992.0;

[[nodiscard]] static Result<ServerReport> malformed(const std::string &what)
{
    return tl::unexpected{Error{ErrorCode::malformed, what}};
}

// Returns the instance id between the fixed parts of a path, or nothing if the path has another form.
[[nodiscard]] static std::optional<std::string> instanceIdIn(const std::string &target, const std::string_view suffix)
{
    const std::string_view prefix{instancesPath};
    const std::string_view path = std::string_view{target}.substr(0, target.find('?'));
    if (!path.starts_with(prefix) || !path.ends_with(suffix) || path.size() <= prefix.size() + suffix.size()) {
        return std::nullopt;
    }
    return std::string{path.substr(prefix.size(), path.size() - prefix.size() - suffix.size())};
}

[[nodiscard]] static std::optional<std::int64_t> readInteger(const QJsonValue &value, const double max)
{
    const double number = value.toDouble(-1.0);
    if (!value.isDouble() || number < 0.0 || number > max || number != std::floor(number)) {
        return std::nullopt;
    }
    return static_cast<std::int64_t>(number);
}

[[nodiscard]] static std::optional<ServerReportState> stateOf(const QString &text)
{
    if (text == QLatin1String{"ready"}) {
        return ServerReportState::ready;
    }
    return text == QLatin1String{"draining"} ? std::optional{ServerReportState::draining} : std::nullopt;
}

/*! @brief Reads the time of the server's start; 0 if the report has none, nothing if it is no time. */
[[nodiscard]] static std::optional<std::int64_t> readStart(const QJsonObject &body)
{
    const QJsonValue born = body[QLatin1String{"born"}];
    if (born.isUndefined()) {
        return 0;
    }
    const auto startedAtMs = readInteger(born, maxExactInteger);
    return startedAtMs == 0 ? std::nullopt : startedAtMs;
}

[[nodiscard]] static Result<ServerReport> readHeartbeat(ServerReport report, const QJsonObject &body)
{
    const QJsonObject info = body[QLatin1String{"info"}].toObject();
    const QJsonObject status = body[QLatin1String{"status"}].toObject();
    const auto state = stateOf(status[QLatin1String{"state"}].toString());
    const auto sequence = readInteger(status[QLatin1String{"seq"}], maxExactInteger);
    const auto slots = readInteger(info[QLatin1String{"slots"}], maxSlots);
    report.service = info[QLatin1String{"service"}].toString().toStdString();
    report.address = body[QLatin1String{"address"}].toString().toStdString();
    if (!state.has_value() || !sequence.has_value() || !slots.has_value() || *slots == 0) {
        return malformed("a heartbeat without a known state, a sequence number or slots");
    }
    if (report.service.empty() || report.address.empty()) {
        return malformed("a heartbeat without a service or an address");
    }
    report.state = *state;
    report.sequence = *sequence;
    report.slots = static_cast<int>(*slots);
    const QJsonValue cold = status[QLatin1String{"cold_remaining"}];
    report.coldRemaining = parseDuration(cold.toString().toStdString()).value_or(std::chrono::milliseconds{0});
    return report;
}

} // namespace internal

std::string_view toString(const ServerReportState state) noexcept
{
    switch (state) {
    case ServerReportState::ready:
        return "ready";
    case ServerReportState::draining:
        return "draining";
    case ServerReportState::left:
        return "left";
    }
    return "unknown";
}

Result<ServerReport> readServerReport(const http::Request &request)
{
    if (request.method != "POST") {
        return tl::unexpected{Error{ErrorCode::notFound, "no report"}};
    }
    const auto deregistered = internal::instanceIdIn(request.target, internal::deregisterSuffix);
    const auto reporting = internal::instanceIdIn(request.target, internal::heartbeatSuffix);
    if (!deregistered.has_value() && !reporting.has_value()) {
        return tl::unexpected{Error{ErrorCode::notFound, "no report"}};
    }
    const QJsonDocument document = QJsonDocument::fromJson(request.body);
    // Only a deregistration says enough without a body.
    if (!document.isObject() && (reporting.has_value() || !request.body.isEmpty())) {
        return internal::malformed("a report that is no JSON object");
    }
    const auto startedAtMs = internal::readStart(document.object());
    if (!startedAtMs.has_value()) {
        return internal::malformed("a report whose time of start is no whole number above 0");
    }
    ServerReport report;
    report.startedAtMs = *startedAtMs;
    if (deregistered.has_value()) {
        report.instance = *deregistered;
        report.state = ServerReportState::left;
        return report;
    }
    report.instance = *reporting;
    return internal::readHeartbeat(std::move(report), document.object());
}

http::Response acknowledgement()
{
    http::Response response;
    response.status = 200;
    response.headers.push_back({.name = "Content-Type", .value = "application/json"});
    response.body = "{}";
    return response;
}

} // namespace egretlatch::platform
