#include <load/scenario.hpp>

#include <numeric>

#include <QJsonDocument>
#include <QJsonObject>

#include <egretlatch/settings/json_object_reader.hpp>

namespace standin::load
{

namespace internal
{

using egretlatch::settings::JsonObjectReader;
using egretlatch::settings::Problems;
using egretlatch::settings::Range;

constexpr Range<double> shareRange{.min = 0.0, .max = 1e6};
constexpr Range<double> fractionRange{.min = 0.0, .max = 1.0};
constexpr Range<double> backoffRange{.min = 1.0, .max = 10.0};
constexpr Range<std::int64_t> secondsRange{.min = 1, .max = 3'600};
constexpr Range<std::int64_t> overloadRange{.min = 0, .max = 3'600};
constexpr Range<std::int64_t> rateRange{.min = 0, .max = 50'000};
constexpr Range<std::int64_t> timeRange{.min = 0, .max = 3'600'000};
constexpr Range<std::int64_t> resendsRange{.min = 0, .max = 100};
constexpr Range<std::int64_t> bodyRange{.min = 0, .max = 1'000'000};
constexpr Range<std::int64_t> countRange{.min = 1, .max = 10'000};
constexpr Range<std::int64_t> serverRange{.min = -1, .max = 10'000};
constexpr Range<std::int64_t> seedRange{.min = 0, .max = 1'000'000'000};
constexpr int defaultBodyBytes = 128;
constexpr int defaultResendDelayMs = 50;
constexpr int defaultCancelDelayMs = 20;

[[nodiscard]] static KindShare readKind(const QJsonValue &value, const std::string &pointer, Problems &problems)
{
    JsonObjectReader reader{value, pointer, problems};
    KindShare kind;
    kind.service = reader.text("service");
    kind.kind = reader.text("kind");
    kind.share = reader.number("share", shareRange);
    reader.finish();
    return kind;
}

[[nodiscard]] static Phase readPhase(const QJsonValue &value, const std::string &pointer, Problems &problems)
{
    JsonObjectReader reader{value, pointer, problems};
    Phase phase;
    phase.name = reader.text("name");
    phase.seconds = static_cast<int>(reader.integer("seconds", secondsRange));
    phase.rate = static_cast<int>(reader.integer("rate", rateRange));
    reader.finish();
    return phase;
}

[[nodiscard]] static CallerBehaviour readCallers(const QJsonValue &value, const std::string &pointer, Problems &problems)
{
    JsonObjectReader reader{value, pointer, problems};
    CallerBehaviour callers;
    callers.resends = static_cast<int>(reader.integer("resends", resendsRange, 0));
    callers.resendAfter = reader.milliseconds("resendAfterMs", timeRange, defaultResendDelayMs);
    callers.backoff = reader.number("backoff", backoffRange, 1.0);
    callers.honoursRetryAfter = reader.flag("honoursRetryAfter", false);
    callers.timeout = reader.milliseconds("timeoutMs", timeRange, 0);
    callers.cancelShare = reader.number("cancelShare", fractionRange, 0.0);
    callers.cancelAfter = reader.milliseconds("cancelAfterMs", timeRange, defaultCancelDelayMs);
    callers.bodyBytes = static_cast<int>(reader.integer("bodyBytes", bodyRange, defaultBodyBytes));
    callers.keys = reader.choice("keys", {"daemon", "caller"}, "daemon") == "daemon" ? KeySource::daemon : KeySource::caller;
    reader.finish();
    return callers;
}

[[nodiscard]] static SingleRequest readSingle(const QJsonValue &value, const std::string &pointer, Problems &problems)
{
    JsonObjectReader reader{value, pointer, problems};
    SingleRequest single;
    single.at = reader.milliseconds("atMs", timeRange);
    single.service = reader.text("service");
    single.kind = reader.text("kind");
    single.body = reader.text("body", "");
    single.count = static_cast<int>(reader.integer("count", countRange, 1));
    reader.finish();
    return single;
}

[[nodiscard]] static FaultStep readFault(const QJsonValue &value, const std::string &pointer, Problems &problems)
{
    JsonObjectReader reader{value, pointer, problems};
    FaultStep step;
    step.at = reader.milliseconds("atMs", timeRange);
    const std::string action = reader.choice("do", {"control", "stop", "continue", "kill", "restart", "drain", "replace", "submit"});
    step.action = action == "control" ? FaultAction::control : FaultAction::process;
    step.service = reader.text("service", "");
    step.server = static_cast<int>(reader.integer("server", serverRange, -1));
    static_cast<void>(reader.choice("process", {"backend", "daemon", "platform"}, "backend"));
    static_cast<void>(reader.integer("operators", countRange, 1));
    const std::optional<QJsonValue> behaviour = reader.member("behaviour");
    step.behaviour = QJsonDocument{behaviour.value_or(QJsonObject{}).toObject()}.toJson(QJsonDocument::Compact);
    reader.finish();
    return step;
}

[[nodiscard]] static OverloadSpan readOverload(const QJsonValue &value, const std::string &pointer, Problems &problems)
{
    JsonObjectReader reader{value, pointer, problems};
    OverloadSpan span;
    span.fromSecond = static_cast<int>(reader.integer("fromSecond", overloadRange));
    span.toSecond = static_cast<int>(reader.integer("toSecond", overloadRange));
    reader.finish();
    if (span.toSecond < span.fromSecond) {
        reader.report("toSecond", "an end before the start", "a second not before fromSecond");
    }
    return span;
}

/*! @brief Validates and discards the members that only scripts/experiment uses, so that they are not reported as unknown. */
static void readDeployment(JsonObjectReader &reader)
{
    static_cast<void>(reader.text("story", ""));
    static_cast<void>(reader.text("deployment", ""));
    static_cast<void>(reader.text("manifest", ""));
    static_cast<void>(reader.integer("servers", countRange, 2));
    static_cast<void>(reader.integer("slots", Range<std::int64_t>{.min = 0, .max = countRange.max}, 0));
}

} // namespace internal

tl::expected<Scenario, egretlatch::settings::Problems> parseScenario(const QByteArray &json)
{
    egretlatch::settings::Problems problems;
    internal::JsonObjectReader reader{egretlatch::settings::parseJson(json, problems), "", problems};
    Scenario scenario;
    scenario.name = reader.text("name");
    scenario.seed = static_cast<std::uint64_t>(reader.integer("seed", internal::seedRange, 1));
    internal::readDeployment(reader);
    reader.list("kinds", true, [&](const QJsonValue &value, const std::string &pointer) {
        scenario.kinds.push_back(internal::readKind(value, pointer, problems));
    });
    reader.list("phases", true, [&](const QJsonValue &value, const std::string &pointer) {
        scenario.phases.push_back(internal::readPhase(value, pointer, problems));
    });
    reader.list("singles", false, [&](const QJsonValue &value, const std::string &pointer) {
        scenario.singles.push_back(internal::readSingle(value, pointer, problems));
    });
    reader.list("faults", false, [&](const QJsonValue &value, const std::string &pointer) {
        scenario.faults.push_back(internal::readFault(value, pointer, problems));
    });
    if (const std::optional<QJsonValue> callers = reader.member("callers"); callers.has_value()) {
        scenario.callers = internal::readCallers(*callers, reader.pointerTo("callers"), problems);
    }
    if (const std::optional<QJsonValue> overload = reader.member("overload"); overload.has_value()) {
        scenario.overload = internal::readOverload(*overload, reader.pointerTo("overload"), problems);
    }
    reader.finish();
    if (egretlatch::settings::hasError(problems)) {
        return tl::unexpected{std::move(problems)};
    }
    return scenario;
}

int durationSeconds(const Scenario &scenario)
{
    return std::accumulate(scenario.phases.begin(), scenario.phases.end(), 0, [](const int sum, const Phase &phase) {
        return sum + phase.seconds;
    });
}

} // namespace standin::load
