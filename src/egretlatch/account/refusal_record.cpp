#include <egretlatch/account/refusal_record.hpp>

#include <QJsonArray>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <egretlatch/core/qt_text.hpp>

namespace egretlatch::account
{

namespace internal
{

constexpr double millisecondsPerSecond = 1000.0;
constexpr int hexadecimal = 16;

[[nodiscard]] static std::optional<Verdict> verdictFromString(const std::string &name)
{
    for (const Verdict verdict : {Verdict::completed, Verdict::notRun, Verdict::mayHaveRun}) {
        if (toString(verdict) == name) {
            return verdict;
        }
    }
    return std::nullopt;
}

[[nodiscard]] static std::string_view explain(const RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::overloadAtEntry:
        return "a service that it depends on was overloaded and refused requests of its rank, so it was not started";
    case RefusalReason::overloadAtServer:
        return "the service was overloaded and refused requests of its rank";
    case RefusalReason::overloadInQueue:
        return "the service was overloaded, and the request was displaced by more important ones or waited too long";
    case RefusalReason::deadlinePassed:
        return "its deadline passed";
    case RefusalReason::cancelled:
        return "its caller closed the connection";
    case RefusalReason::noServer:
        return "no backend server of the service accepted new requests";
    case RefusalReason::serverLost:
        return "the backend server could not be reached or was lost before it answered";
    case RefusalReason::draining:
        return "the backend server was shutting down";
    case RefusalReason::retryBudgetSpent:
        return "its retry budget was used up";
    case RefusalReason::keyOwnerUnknown:
        return "the daemon that owns its request key was unknown or could not be reached";
    case RefusalReason::keyAlreadyUsed:
        return "a request with the same key had been sent before";
    case RefusalReason::storeUnavailable:
        return "state that must be durable could not be written, so it was not started";
    case RefusalReason::quarantined:
        return "similar requests had crashed backend servers";
    case RefusalReason::daemonBusy:
        return "the daemon had more calls waiting than it could process";
    case RefusalReason::overQuota:
        return "its client account had used up its quota";
    case RefusalReason::configurationUnproven:
        return "the configuration known to the daemon may have been too old to decide by its API key, or it had none and its origin was not known";
    }
    return "the reason is not known to this version";
}

[[nodiscard]] static std::string_view explain(const Verdict verdict)
{
    switch (verdict) {
    case Verdict::completed:
        return "It was completed.";
    case Verdict::notRun:
        return "It was not run.";
    case Verdict::mayHaveRun:
        break;
    }
    return "It may have been run.";
}

[[nodiscard]] static std::string listFigures(const std::vector<Figure> &figures)
{
    std::string text;
    for (const Figure &figure : figures) {
        text += fmt::format("{}{} {:g}", text.empty() ? "" : ", ", figure.name, figure.value);
    }
    return text.empty() ? "none" : text;
}

[[nodiscard]] static std::vector<Figure> readFigures(const QJsonArray &array)
{
    std::vector<Figure> figures;
    for (const auto &figure : array) {
        figures.push_back({.name = figure[u"name"].toString().toStdString(), .value = figure[u"value"].toDouble()});
    }
    return figures;
}

[[nodiscard]] static std::int64_t toMilliseconds(const WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace internal

QJsonObject toJson(const RefusalRecord &record)
{
    QJsonArray figures;
    for (const Figure &figure : record.refusal.figures) {
        figures.append(QJsonObject{{u"name"_qs, toQt(figure.name)}, {u"value"_qs, figure.value}});
    }
    return {
        {u"id"_qs, toQt(record.refusal.id.toString())},
        {u"timeMs"_qs, static_cast<qint64>(internal::toMilliseconds(record.time))},
        {u"reason"_qs, toQt(toString(record.refusal.reason))},
        {u"rule"_qs, toQt(record.refusal.rule)},
        {u"figures"_qs, figures},
        {u"retryAfterMs"_qs, static_cast<qint64>(record.refusal.retryAfter.count())},
        {u"configurationVersion"_qs, static_cast<qint64>(record.refusal.configurationVersion)},
        {u"verdict"_qs, toQt(toString(record.verdict))},
        {u"root"_qs, toQt(record.root.toString())},
        {u"keyFingerprint"_qs, toQt(fmt::format("{:016x}", record.keyFingerprint))},
        {u"service"_qs, toQt(record.service)},
        {u"kind"_qs, toQt(record.kind)},
        {u"priority"_qs, record.priority},
        {u"worth"_qs, record.worth},
    };
}

std::optional<RefusalRecord> refusalRecordFromJson(const QJsonObject &object)
{
    const std::optional<Uuid> id = Uuid::parse(object[u"id"].toString().toStdString());
    const std::optional<Uuid> root = Uuid::parse(object[u"root"].toString().toStdString());
    const std::optional<RefusalReason> reason = refusalReasonFromString(object[u"reason"].toString().toStdString());
    const std::optional<Verdict> verdict = internal::verdictFromString(object[u"verdict"].toString().toStdString());
    if (!id.has_value() || !root.has_value() || !reason.has_value() || !verdict.has_value()) {
        return std::nullopt;
    }
    RefusalRecord record;
    record.refusal.id = *id;
    record.refusal.reason = *reason;
    record.refusal.rule = object[u"rule"].toString().toStdString();
    record.refusal.figures = internal::readFigures(object[u"figures"].toArray());
    record.refusal.retryAfter = std::chrono::milliseconds{object[u"retryAfterMs"].toInteger()};
    record.refusal.configurationVersion = static_cast<std::uint64_t>(object[u"configurationVersion"].toInteger());
    record.verdict = *verdict;
    record.root = *root;
    record.keyFingerprint = object[u"keyFingerprint"].toString().toULongLong(nullptr, internal::hexadecimal);
    record.service = object[u"service"].toString().toStdString();
    record.kind = object[u"kind"].toString().toStdString();
    record.priority = object[u"priority"].toInt();
    record.worth = object[u"worth"].toDouble();
    record.time = WallTime{std::chrono::milliseconds{object[u"timeMs"].toInteger()}};
    return record;
}

std::string toSentence(const RefusalRecord &record)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(record.time);
    std::string text = fmt::format("A request {}/{} was refused on {:%Y-%m-%d at %H:%M:%S} UTC because {}. {}",
                                   record.service,
                                   record.kind,
                                   seconds,
                                   internal::explain(record.refusal.reason),
                                   internal::explain(record.verdict));
    text += fmt::format(" Its priority was {} and its worth {:g} under configuration {}.", record.priority, record.worth, record.refusal.configurationVersion);
    text += fmt::format(" Rule: {}. Figures: {}.", record.refusal.rule, internal::listFigures(record.refusal.figures));
    if (record.refusal.retryAfter.count() > 0) {
        text += fmt::format(" The caller was told to retry after {:g} s.",
                            static_cast<double>(record.refusal.retryAfter.count()) / internal::millisecondsPerSecond);
    }
    return text;
}

} // namespace egretlatch::account
