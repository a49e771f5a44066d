#include <doctest/doctest.h>

#include <egretlatch/account/metrics_registry.hpp>

using namespace egretlatch;
using namespace egretlatch::account;
using namespace std::chrono_literals;

TEST_CASE("metrics are exported in the Prometheus format: one type line per metric, cumulative buckets, named labels")
{
    MetricsRegistry metrics;
    metrics.count("refusals", "no-server");
    metrics.count("refusals", "no-server");
    metrics.count("refusals", "draining");
    metrics.set("slots", 11);
    metrics.set("members{state=\"serving\"}", 16);
    metrics.observe("queue_delay", "roster", 1ms);
    metrics.observe("queue_delay", "roster", 30ms);
    metrics.observe("queue_delay", "roster", 60s);

    const std::string text = metrics.toPrometheus();

    CHECK(text.starts_with("# TYPE egretlatch_refusals_total counter\n"
                           "egretlatch_refusals_total{reason=\"draining\"} 1\n"
                           "egretlatch_refusals_total{reason=\"no-server\"} 2\n"
                           "# TYPE egretlatch_members gauge\n"
                           "egretlatch_members{state=\"serving\"} 16\n"
                           "# TYPE egretlatch_slots gauge\n"
                           "egretlatch_slots 11\n"
                           "# TYPE egretlatch_queue_delay_seconds histogram\n"
                           "egretlatch_queue_delay_seconds_bucket{service=\"roster\",le=\"0.001\"} 1\n"));
    CHECK(text.find("egretlatch_queue_delay_seconds_bucket{service=\"roster\",le=\"0.05\"} 2\n") != std::string::npos);
    CHECK(text.find("egretlatch_queue_delay_seconds_bucket{service=\"roster\",le=\"10\"} 2\n") != std::string::npos);
    CHECK(text.find("egretlatch_queue_delay_seconds_bucket{service=\"roster\",le=\"+Inf\"} 3\n") != std::string::npos);
    CHECK(text.find("egretlatch_queue_delay_seconds_count{service=\"roster\"} 3\n") != std::string::npos);
}
