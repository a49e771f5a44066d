#ifndef EGRETLATCH_ACCOUNT_METRICS_SINK_HPP
#define EGRETLATCH_ACCOUNT_METRICS_SINK_HPP

#include <string_view>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::account
{

/*! @brief Receives the metrics of the daemon's components. */
class MetricsSink
{
public:
    virtual ~MetricsSink() = default;

    /**
     * @brief Counts an event.
     * @param name Name of the counter, in snake case without prefix.
     * @param label Label value, such as a reason; may be empty.
     */
    virtual void count(std::string_view name, std::string_view label) = 0;

    /**
     * @brief Records a measured duration.
     * @param name Name of the histogram, in snake case without prefix and unit.
     * @param label Label value; may be empty.
     * @param value Duration to record.
     */
    virtual void observe(std::string_view name, std::string_view label, Duration value) = 0;

    /**
     * @brief Sets the value of a gauge.
     * @param name Name of the gauge, in snake case without prefix.
     * @param value Current value.
     */
    virtual void set(std::string_view name, double value) = 0;
};

} // namespace egretlatch::account

#endif
