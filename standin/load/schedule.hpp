#ifndef STANDIN_LOAD_SCHEDULE_HPP
#define STANDIN_LOAD_SCHEDULE_HPP

#include <egretlatch/core/random_source.hpp>

#include <load/planned_request.hpp>
#include <load/scenario.hpp>

namespace standin::load
{

/**
 * @brief Generates the requests of a scenario.
 *
 * Each second has exactly as many requests as the rate of its phase, at uniformly distributed times: a Poisson process
 * conditioned on its count. The kinds of a second have their shares and are in random order, so the offered worth is the same
 * in each second of a phase.
 * @param scenario The scenario; its kinds are those of the run, in the same order.
 * @param random Source of the send times, the order of kinds and the cancellations.
 * @return The requests, sorted by time.
 */
[[nodiscard]] Schedule makeSchedule(const Scenario &scenario, egretlatch::RandomSource &random);

} // namespace standin::load

#endif
