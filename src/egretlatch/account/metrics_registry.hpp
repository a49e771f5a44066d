#ifndef EGRETLATCH_ACCOUNT_METRICS_REGISTRY_HPP
#define EGRETLATCH_ACCOUNT_METRICS_REGISTRY_HPP

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <egretlatch/account/metrics_sink.hpp>

namespace egretlatch::account
{

/*! @brief Keeps counters, gauges and summaries, and writes them as Prometheus text; safe to use from any thread. */
class MetricsRegistry final : public MetricsSink
{
public:
    void count(std::string_view name, std::string_view label) override;
    void observe(std::string_view name, std::string_view label, Duration value) override;
    void set(std::string_view name, double value) override;

    /**
     * @brief Writes all numbers.
     * @return Text in the Prometheus exposition format; spans of time in seconds.
     */
    [[nodiscard]] std::string toPrometheus() const;

private:
    using Key = std::pair<std::string, std::string>;
    using Summary = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::
            stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, boost::accumulators::tag::max, boost::accumulators::tag::extended_p_square>>;

    mutable std::mutex m_mutex;
    std::map<Key, std::uint64_t> m_counters;
    std::map<Key, Summary> m_summaries;
    std::map<std::string, double> m_gauges;
};

} // namespace egretlatch::account

#endif
