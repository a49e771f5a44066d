#ifndef EGRETLATCH_SIDECAR_GAUGES_HPP
#define EGRETLATCH_SIDECAR_GAUGES_HPP

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/decision/core.hpp>

namespace egretlatch::sidecar
{

/*! @brief What the gauges are read from, beside the core. */
struct GaugeSources
{
    int slots{};
    /*! @brief Since when the configuration in force is; nothing without one. */
    std::optional<SteadyTime> inForceSince;
    std::uint64_t logLinesLeftOut{};
};

/**
 * @brief Sets all numbers that go up and down, as they stand now.
 * @param core Read for load, members, configuration and retries.
 * @param sources The rest.
 * @param now Current time.
 * @param metrics Takes the numbers.
 */
void setGauges(const decision::Core &core, const GaugeSources &sources, SteadyTime now, account::MetricsSink &metrics);

} // namespace egretlatch::sidecar

#endif
