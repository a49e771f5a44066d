#ifndef EGRETLATCH_ACCOUNT_METRICS_REGISTRY_HPP
#define EGRETLATCH_ACCOUNT_METRICS_REGISTRY_HPP

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <egretlatch/account/metrics_sink.hpp>

namespace egretlatch::account
{

/*! @brief Stores counters, gauges and histograms and exports them as Prometheus text. Thread-safe. */
class MetricsRegistry final : public MetricsSink
{
public:
    void count(std::string_view name, std::string_view label) override;
    void observe(std::string_view name, std::string_view label, Duration value) override;
    void set(std::string_view name, double value) override;

    /**
     * @brief Exports all metrics.
     * @return Text in the Prometheus exposition format; durations in seconds.
     */
    [[nodiscard]] std::string toPrometheus() const;

    /*! @brief Upper bounds of the histogram buckets in seconds, from a call on one VM to the longest deadline. */
    static constexpr std::array<double, 13> bucketBounds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0};

private:
    using Key = std::pair<std::string, std::string>;
    using Summary = boost::accumulators::
        accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, boost::accumulators::tag::max>>;

    struct Histogram
    {
        Summary summary;
        /*! @brief Number of values in each bucket, not cumulative. */
        std::array<std::uint64_t, bucketBounds.size()> buckets{};
    };

    void writeHistogram(const Key &key, const Histogram &histogram, std::string &text) const;

    mutable std::mutex m_mutex;
    std::map<Key, std::uint64_t> m_counters;
    std::map<Key, Histogram> m_histograms;
    std::map<std::string, double> m_gauges;
};

} // namespace egretlatch::account

#endif
