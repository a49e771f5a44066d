#include <egretlatch/daemon/problem_document.hpp>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <egretlatch/core/qt_text.hpp>
#include <egretlatch/daemon/http_headers.hpp>

namespace egretlatch::daemon
{

namespace internal
{

static void addRefusal(const account::Refusal &refusal, QJsonObject &document)
{
    document[u"type"] = toQt(fmt::format("urn:egretlatch:refusal:{}", account::toString(refusal.reason)));
    document[u"title"] = toQt(account::toString(refusal.reason));
    document[u"reason"] = toQt(account::toString(refusal.reason));
    document[u"refusalId"] = toQt(refusal.id.toString());
    document[u"rule"] = toQt(refusal.rule);
    document[u"configurationVersion"] = static_cast<qint64>(refusal.configurationVersion);
    QJsonObject figures;
    for (const account::Figure &figure : refusal.figures) {
        figures[toQt(figure.name)] = figure.value;
    }
    document[u"figures"] = figures;
    if (refusal.retryAfter.count() > 0) {
        document[u"retryAfterMs"] = static_cast<qint64>(refusal.retryAfter.count());
    }
}

} // namespace internal

Headers problemHeaders(const decision::CallerAnswer &answer)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    Headers headers{
        {.name = "Content-Type", .value = "application/problem+json"},
        {.name = verdictHeader, .value = std::string{toString(answer.verdict)}},
    };
    if (!answer.nextKey.empty()) {
        headers.push_back({.name = nextKeyHeader, .value = answer.nextKey});
    }
    if (answer.refusal.has_value() && answer.refusal->retryAfter.count() > 0) {
        const std::int64_t seconds = (answer.refusal->retryAfter.count() + millisecondsPerSecond - 1) / millisecondsPerSecond;
        headers.push_back({.name = "Retry-After", .value = fmt::format("{}", seconds)});
    }
    return headers;
}

QByteArray problemBody(const decision::CallerAnswer &answer)
{
    QJsonObject document;
    document[u"status"] = answer.status;
    document[u"verdict"] = toQt(toString(answer.verdict));
    if (!answer.service.empty()) {
        document[u"service"] = toQt(answer.service);
        document[u"kind"] = toQt(answer.kind);
    }
    if (answer.refusal.has_value()) {
        internal::addRefusal(*answer.refusal, document);
    } else {
        document[u"type"] = u"urn:egretlatch:bad-request"_qs;
        document[u"title"] = u"bad request"_qs;
        document[u"detail"] = toQt(answer.requestError);
    }
    return QJsonDocument{document}.toJson(QJsonDocument::Compact);
}

} // namespace egretlatch::daemon
