#ifndef EGRETLATCH_DAEMON_SPAN_EXPORTER_HPP
#define EGRETLATCH_DAEMON_SPAN_EXPORTER_HPP

#include <string>
#include <vector>

#include <QObject>
#include <QTimer>

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/account/span.hpp>
#include <egretlatch/daemon/http_client_pool.hpp>

namespace egretlatch::daemon
{

/*! @brief Sends spans to a collector as OTLP/JSON over HTTP. Lives on the account thread. */
class SpanExporter final : public QObject
{
public:
    /**
     * @brief Creates an exporter.
     * @param collectorUrl Base URL of the collector; empty to drop all spans.
     * @param daemon Id of this daemon, sent as `service.instance.id` of the resource.
     * @param metrics Receives the counts of dropped spans and lost batches; must outlive the exporter.
     */
    SpanExporter(std::string collectorUrl, std::string daemon, account::MetricsSink &metrics);

    /**
     * @brief Adds a span to the next batch. If the batch is full, the span is dropped and counted.
     * @param span Span to send.
     */
    void add(account::Span span);

private:
    void sendBatch();

    std::string m_collectorUrl;
    std::string m_daemon;
    account::MetricsSink &m_metrics;
    HttpClientPool m_pool;
    QTimer m_timer;
    std::vector<account::Span> m_batch;
};

/**
 * @brief Encodes spans as an OTLP/JSON export request.
 * @param daemon Id of the daemon.
 * @param spans Spans to encode.
 * @param wallOffset Offset to add to a steady time to get the wall-clock time.
 * @return JSON document.
 */
[[nodiscard]] QByteArray toOtlp(const std::string &daemon, const std::vector<account::Span> &spans, Duration wallOffset);

} // namespace egretlatch::daemon

#endif
