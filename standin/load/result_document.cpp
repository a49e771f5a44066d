#include <load/result_document.hpp>

#include <array>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <load/recovery.hpp>

#include <egretlatch/core/qt_text.hpp>

namespace standin::load
{

namespace internal
{

constexpr std::array<double, 4> quantiles{0.5, 0.9, 0.99, 0.999};
constexpr std::array<const char16_t *, 4> quantileNames{u"p50", u"p90", u"p99", u"p999"};

[[nodiscard]] static double toMilliseconds(const egretlatch::Duration span)
{
    return std::chrono::duration<double, std::milli>{span}.count();
}

[[nodiscard]] static QJsonObject toObject(const std::map<std::string, std::uint64_t> &counts)
{
    QJsonObject object;
    for (const auto &[name, count] : counts) {
        object[egretlatch::toQt(name)] = static_cast<qint64>(count);
    }
    return object;
}

[[nodiscard]] static QJsonArray toArray(const SecondCounts &counts, const int seconds)
{
    QJsonArray array;
    for (int second = 0; second < seconds; ++second) {
        array.append(static_cast<qint64>(counts.at(static_cast<std::size_t>(second))));
    }
    return array;
}

[[nodiscard]] static QJsonObject latencyObject(const LatencyHistogram &latency)
{
    QJsonObject object;
    for (std::size_t index = 0; index < quantiles.size(); ++index) {
        object[QStringView{quantileNames.at(index)}] = toMilliseconds(latency.quantile(quantiles.at(index)));
    }
    object[u"max"] = toMilliseconds(latency.max());
    return object;
}

[[nodiscard]] static std::map<std::string, std::uint64_t> causesOf(const KindResult &result, const OutcomeClass outcomeClass)
{
    const auto found = result.requests.find(outcomeClass);
    return found == result.requests.end() ? std::map<std::string, std::uint64_t>{} : found->second;
}

[[nodiscard]] static double completedWorth(const RequestKind &kind, const KindResult &result)
{
    return kind.worth * static_cast<double>(result.countOf(OutcomeClass::completed));
}

[[nodiscard]] static QJsonObject kindObject(const RequestKind &kind, const KindResult &result, const int seconds)
{
    return {
        {QStringLiteral("worthOfOne"), kind.worth},
        {QStringLiteral("idempotent"), kind.idempotent},
        {QStringLiteral("sent"), static_cast<qint64>(result.sent)},
        {QStringLiteral("attempts"), static_cast<qint64>(result.attempts)},
        {QStringLiteral("completed"), static_cast<qint64>(result.countOf(OutcomeClass::completed))},
        {QStringLiteral("refused"), toObject(causesOf(result, OutcomeClass::refused))},
        {QStringLiteral("mayHaveRun"), toObject(causesOf(result, OutcomeClass::mayHaveRun))},
        {QStringLiteral("failed"), toObject(causesOf(result, OutcomeClass::failed))},
        {QStringLiteral("cancelled"), static_cast<qint64>(result.countOf(OutcomeClass::cancelled))},
        {QStringLiteral("attemptCauses"), toObject(result.attemptCauses)},
        {QStringLiteral("worth"), completedWorth(kind, result)},
        {QStringLiteral("offeredWorth"), kind.worth * static_cast<double>(result.sent)},
        {QStringLiteral("latencyMs"), latencyObject(result.latency)},
        {QStringLiteral("sentBySecond"), toArray(result.sentBySecond, seconds)},
        {QStringLiteral("completedBySecond"), toArray(result.completedBySecond, seconds)},
    };
}

[[nodiscard]] static QJsonObject totals(const FinishedRun &run)
{
    double worth = 0.0;
    double offered = 0.0;
    KindResult all;
    for (std::size_t index = 0; index < run.kinds.size(); ++index) {
        worth += completedWorth(run.kinds[index], run.result.kinds[index]);
        offered += run.kinds[index].worth * static_cast<double>(run.result.kinds[index].sent);
        all.add(run.result.kinds[index]);
    }
    return {
        {QStringLiteral("sent"), static_cast<qint64>(all.sent)},
        {QStringLiteral("attempts"), static_cast<qint64>(all.attempts)},
        {QStringLiteral("completed"), static_cast<qint64>(all.countOf(OutcomeClass::completed))},
        {QStringLiteral("refused"), static_cast<qint64>(all.countOf(OutcomeClass::refused))},
        {QStringLiteral("mayHaveRun"), static_cast<qint64>(all.countOf(OutcomeClass::mayHaveRun))},
        {QStringLiteral("failed"), static_cast<qint64>(all.countOf(OutcomeClass::failed))},
        {QStringLiteral("cancelled"), static_cast<qint64>(all.countOf(OutcomeClass::cancelled))},
        {QStringLiteral("worth"), worth},
        {QStringLiteral("offeredWorth"), offered},
        {QStringLiteral("latencyMs"), latencyObject(all.latency)},
    };
}

[[nodiscard]] static QJsonObject bySecond(const FinishedRun &run, const int seconds)
{
    QJsonArray goodput;
    for (const double value : weightedGoodput(run)) {
        goodput.append(value);
    }
    QJsonObject causes;
    for (const auto &[cause, counts] : run.result.causesBySecond) {
        causes[egretlatch::toQt(cause)] = toArray(counts, seconds);
    }
    return {
        {QStringLiteral("worth"), goodput},
        {QStringLiteral("attempts"), toArray(run.result.attemptsBySecond, seconds)},
        {QStringLiteral("causes"), causes},
    };
}

[[nodiscard]] static QJsonObject recoveryObject(const FinishedRun &run)
{
    const Recovery recovery = findRecovery(weightedGoodput(run), run.scenario.overload);
    return {
        {QStringLiteral("fromSecond"), run.scenario.overload.fromSecond},
        {QStringLiteral("toSecond"), run.scenario.overload.toSecond},
        {QStringLiteral("levelBefore"), recovery.baselineGoodput},
        {QStringLiteral("seconds"), recovery.seconds.has_value() ? QJsonValue{*recovery.seconds} : QJsonValue{}},
    };
}

[[nodiscard]] static QJsonObject toolObject(const FinishedRun &run)
{
    return {
        {QStringLiteral("workers"), run.workers},
        {QStringLiteral("sendLagMs"), latencyObject(run.result.sendLag)},
        {QStringLiteral("leftOut"), static_cast<qint64>(run.result.skippedRequests)},
    };
}

[[nodiscard]] static std::string recoveryLine(const FinishedRun &run)
{
    const OverloadSpan &overload = run.scenario.overload;
    if (overload.toSecond <= overload.fromSecond) {
        return "no overload declared\n";
    }
    const Recovery recovery = findRecovery(weightedGoodput(run), overload);
    const std::string time = recovery.seconds.has_value() ? fmt::format("{} s", *recovery.seconds) : std::string{"not within the run"};
    return fmt::format(
        "overload {} to {} s, weighted goodput before {:.1f}/s, recovery {}\n", overload.fromSecond, overload.toSecond, recovery.baselineGoodput, time);
}

[[nodiscard]] static std::string kindLine(const std::string &name, const double worth, const KindResult &result)
{
    return fmt::format("{:<34}{:>8}{:>9}{:>10}{:>9}{:>8}{:>8}{:>7}{:>10.0f}{:>9.1f}{:>9.1f}\n",
                       name,
                       result.sent,
                       result.attempts,
                       result.countOf(OutcomeClass::completed),
                       result.countOf(OutcomeClass::refused),
                       result.countOf(OutcomeClass::mayHaveRun),
                       result.countOf(OutcomeClass::failed),
                       result.countOf(OutcomeClass::cancelled),
                       worth,
                       toMilliseconds(result.latency.quantile(quantiles.front())),
                       toMilliseconds(result.latency.quantile(quantiles.at(2))));
}

} // namespace internal

std::vector<double> weightedGoodput(const FinishedRun &run)
{
    std::vector<double> goodput(static_cast<std::size_t>(durationSeconds(run.scenario)));
    for (std::size_t kind = 0; kind < run.kinds.size(); ++kind) {
        for (std::size_t second = 0; second < goodput.size(); ++second) {
            goodput[second] += run.kinds[kind].worth * static_cast<double>(run.result.kinds[kind].completedBySecond.at(second));
        }
    }
    return goodput;
}

QByteArray toJson(const FinishedRun &run)
{
    const int seconds = durationSeconds(run.scenario);
    QJsonObject kinds;
    for (std::size_t index = 0; index < run.kinds.size(); ++index) {
        kinds[egretlatch::toQt(run.kinds[index].name)] = internal::kindObject(run.kinds[index], run.result.kinds[index], seconds);
    }
    QJsonArray phases;
    for (const Phase &phase : run.scenario.phases) {
        phases.append(QJsonObject{
            {QStringLiteral("name"), egretlatch::toQt(phase.name)}, {QStringLiteral("seconds"), phase.seconds}, {QStringLiteral("rate"), phase.rate}});
    }
    const auto startedAt = std::chrono::duration_cast<std::chrono::milliseconds>(run.startedAt.time_since_epoch());
    const QJsonObject document{
        {QStringLiteral("scenario"), egretlatch::toQt(run.scenario.name)},
        {QStringLiteral("seed"), static_cast<qint64>(run.scenario.seed)},
        {QStringLiteral("startedAtMs"), static_cast<qint64>(startedAt.count())},
        {QStringLiteral("seconds"), seconds},
        {QStringLiteral("phases"), phases},
        {QStringLiteral("kinds"), kinds},
        {QStringLiteral("totals"), internal::totals(run)},
        {QStringLiteral("bySecond"), internal::bySecond(run, seconds)},
        {QStringLiteral("recovery"), internal::recoveryObject(run)},
        {QStringLiteral("tool"), internal::toolObject(run)},
    };
    return QJsonDocument{document}.toJson();
}

std::string toTable(const FinishedRun &run)
{
    std::string text = fmt::format("{}, seed {}, {} s\n", run.scenario.name, run.scenario.seed, durationSeconds(run.scenario));
    text += fmt::format("{:<34}{:>8}{:>9}{:>10}{:>9}{:>8}{:>8}{:>7}{:>10}{:>9}{:>9}\n",
                        "kind",
                        "sent",
                        "attempts",
                        "completed",
                        "refused",
                        "may-run",
                        "failed",
                        "cancel",
                        "worth",
                        "p50 ms",
                        "p99 ms");
    KindResult all;
    double worth = 0.0;
    for (std::size_t index = 0; index < run.kinds.size(); ++index) {
        const double kindWorth = internal::completedWorth(run.kinds[index], run.result.kinds[index]);
        text += internal::kindLine(run.kinds[index].name, kindWorth, run.result.kinds[index]);
        worth += kindWorth;
        all.add(run.result.kinds[index]);
    }
    text += internal::kindLine("all", worth, all);
    for (const auto &[outcomeClass, causes] : all.requests) {
        for (const auto &[cause, count] : causes) {
            text += cause.empty() ? std::string{} : fmt::format("  {:<14}{:<32}{:>8}\n", toString(outcomeClass), cause, count);
        }
    }
    text += internal::recoveryLine(run);
    text += fmt::format("p99 send delay {:.2f} ms, requests not sent {}\n",
                        internal::toMilliseconds(run.result.sendLag.quantile(internal::quantiles.at(2))),
                        run.result.skippedRequests);
    return text;
}

QByteArray toHistoryLines(const std::vector<RequestKind> &kinds, const std::vector<HistoryRecord> &history)
{
    QByteArray lines;
    for (const HistoryRecord &record : history) {
        const QJsonObject line{
            {QStringLiteral("kind"), egretlatch::toQt(kinds[record.kind].name)},
            {QStringLiteral("request"), egretlatch::toQt(record.request)},
            {QStringLiteral("key"), egretlatch::toQt(record.key)},
            {QStringLiteral("attempt"), record.attempt},
            {QStringLiteral("sentMs"), internal::toMilliseconds(record.sent)},
            {QStringLiteral("endedMs"), internal::toMilliseconds(record.ended)},
            {QStringLiteral("status"), record.status},
            {QStringLiteral("outcome"), egretlatch::toQt(toString(record.outcome.outcomeClass))},
            {QStringLiteral("cause"), egretlatch::toQt(record.outcome.cause)},
        };
        lines += QJsonDocument{line}.toJson(QJsonDocument::Compact) + '\n';
    }
    return lines;
}

} // namespace standin::load
