#ifndef EGRETLATCH_ACCOUNT_METRICS_SINK_HPP
#define EGRETLATCH_ACCOUNT_METRICS_SINK_HPP

#include <string_view>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::account
{

/*! @brief Takes the numbers that parts of the daemon count and measure. */
class MetricsSink
{
public:
    virtual ~MetricsSink() = default;

    /**
     * @brief Counts an event.
     * @param name Name of the counter, in snake case without prefix.
     * @param label Value that tells variants apart, such as a reason; may be empty.
     */
    virtual void count(std::string_view name, std::string_view label) = 0;

    /**
     * @brief Takes one measured span of time.
     * @param name Name of the measure, in snake case without prefix and unit.
     * @param label Value that tells variants apart; may be empty.
     * @param value The span.
     */
    virtual void observe(std::string_view name, std::string_view label, Duration value) = 0;

    /**
     * @brief Sets a number that goes up and down.
     * @param name Name of the gauge, in snake case without prefix.
     * @param value The number now.
     */
    virtual void set(std::string_view name, double value) = 0;
};

} // namespace egretlatch::account

#endif
