#ifndef EGRETLATCH_SIDECAR_GAUGES_HPP
#define EGRETLATCH_SIDECAR_GAUGES_HPP

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/decision/core.hpp>

namespace egretlatch::sidecar
{

/*! @brief Gauge values that do not come from the decision core. */
struct GaugeSources
{
    int slots{};
    /*! @brief Time at which the current configuration came into force; empty without one. */
    std::optional<SteadyTime> inForceSince;
    std::uint64_t logLinesOmitted{};
};

/**
 * @brief Sets all gauges to their current values.
 * @param core Source of load, members, configuration and retries.
 * @param sources Values from elsewhere.
 * @param now Current time.
 * @param metrics Receives the gauges.
 */
void setGauges(const decision::Core &core, const GaugeSources &sources, SteadyTime now, account::MetricsSink &metrics);

} // namespace egretlatch::sidecar

#endif
