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

/*! @brief Sends spans to a collector as OTLP/JSON over HTTP. Lives on the thread for the account. */
class SpanExporter final : public QObject
{
public:
    /**
     * @brief Builds an exporter.
     * @param collectorUrl Base URL of the collector; empty to drop all spans.
     * @param daemon Name of this daemon, sent as the resource.
     * @param metrics Takes counts of dropped spans; must outlive the exporter.
     */
    SpanExporter(std::string collectorUrl, std::string daemon, account::MetricsSink &metrics);

    /**
     * @brief Adds a span to the next batch; dropped and counted if too many wait.
     * @param span The span.
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
 * @brief Writes spans as an OTLP/JSON export request.
 * @param daemon Name of the daemon.
 * @param spans The spans.
 * @param wallOffset What to add to a steady time to get calendar time.
 * @return The JSON document.
 */
[[nodiscard]] QByteArray toOtlp(const std::string &daemon, const std::vector<account::Span> &spans, Duration wallOffset);

} // namespace egretlatch::daemon

#endif
