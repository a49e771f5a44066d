#include <egretlatch/daemon/span_exporter.hpp>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>

#include <fmt/format.h>

#include <egretlatch/core/qt_text.hpp>

namespace egretlatch::daemon
{

namespace internal
{

constexpr std::size_t maxBatchSize = 4096;
constexpr std::chrono::milliseconds exportInterval{500};
constexpr int otlpServerKind = 2;
constexpr int otlpStatusError = 2;

[[nodiscard]] static QJsonObject attribute(const std::string_view key, const std::string_view value)
{
    return {{u"key"_qs, toQt(key)}, {u"value"_qs, QJsonObject{{u"stringValue"_qs, toQt(value)}}}};
}

[[nodiscard]] static QString nanoseconds(const SteadyTime time, const Duration wallOffset)
{
    return QString::number((time.time_since_epoch() + wallOffset).count());
}

[[nodiscard]] static QJsonObject toOtlp(const account::Span &span, const Duration wallOffset)
{
    QJsonArray attributes{
        attribute("egretlatch.service", span.service),
        attribute("egretlatch.kind", span.kind),
        attribute("egretlatch.verdict", toString(span.verdict)),
        attribute("http.response.status_code", fmt::format("{}", span.status)),
    };
    if (span.refusal.has_value()) {
        attributes.append(attribute("egretlatch.refusal", account::toString(*span.refusal)));
    }
    QJsonObject object{
        {u"traceId"_qs, toQt(span.context.traceId)},
        {u"spanId"_qs, toQt(span.context.spanId)},
        {u"parentSpanId"_qs, toQt(span.parentSpanId)},
        {u"name"_qs, toQt(fmt::format("{} {}/{}", account::toString(span.hop), span.service, span.kind))},
        {u"kind"_qs, otlpServerKind},
        {u"startTimeUnixNano"_qs, nanoseconds(span.started, wallOffset)},
        {u"endTimeUnixNano"_qs, nanoseconds(span.ended, wallOffset)},
        {u"attributes"_qs, attributes},
    };
    if (span.verdict != Verdict::completed) {
        object[u"status"] = QJsonObject{{u"code"_qs, otlpStatusError}};
    }
    return object;
}

} // namespace internal

QByteArray toOtlp(const std::string &daemon, const std::vector<account::Span> &spans, const Duration wallOffset)
{
    QJsonArray list;
    for (const account::Span &span : spans) {
        list.append(internal::toOtlp(span, wallOffset));
    }
    const QJsonArray resourceAttributes{internal::attribute("service.name", "egretlatch"), internal::attribute("service.instance.id", daemon)};
    const QJsonObject scope{{u"scope"_qs, QJsonObject{{u"name"_qs, u"egretlatch"_qs}}}, {u"spans"_qs, list}};
    const QJsonObject resource{{u"resource"_qs, QJsonObject{{u"attributes"_qs, resourceAttributes}}}, {u"scopeSpans"_qs, QJsonArray{scope}}};
    return QJsonDocument{QJsonObject{{u"resourceSpans"_qs, QJsonArray{resource}}}}.toJson(QJsonDocument::Compact);
}

SpanExporter::SpanExporter(std::string collectorUrl, std::string daemon, account::MetricsSink &metrics)
    : m_collectorUrl{std::move(collectorUrl)}
    , m_daemon{std::move(daemon)}
    , m_metrics{metrics}
{
    connect(&m_timer, &QTimer::timeout, this, &SpanExporter::sendBatch);
    if (!m_collectorUrl.empty()) {
        m_timer.start(internal::exportInterval);
    }
}

void SpanExporter::add(account::Span span)
{
    if (m_collectorUrl.empty()) {
        return;
    }
    if (m_batch.size() >= internal::maxBatchSize) {
        m_metrics.count("spans_dropped", "batch-full");
        return;
    }
    m_batch.push_back(std::move(span));
}

void SpanExporter::sendBatch()
{
    if (m_batch.empty()) {
        return;
    }
    const Duration wallOffset = std::chrono::system_clock::now().time_since_epoch() - std::chrono::steady_clock::now().time_since_epoch();
    const QByteArray body = toOtlp(m_daemon, m_batch, wallOffset);
    m_batch.clear();
    QNetworkRequest request{QUrl{QString::fromStdString(m_collectorUrl + "/v1/traces")}};
    request.setHeader(QNetworkRequest::ContentTypeHeader, QByteArray{"application/json"});
    QNetworkReply *const reply = m_pool.send("POST", request, body);
    connect(reply, &QNetworkReply::finished, this, [this, reply] {
        if (reply->error() != QNetworkReply::NoError) {
            m_metrics.count("span_batches_lost", "collector");
        }
        reply->deleteLater();
    });
}

} // namespace egretlatch::daemon
