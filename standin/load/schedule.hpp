#ifndef STANDIN_LOAD_SCHEDULE_HPP
#define STANDIN_LOAD_SCHEDULE_HPP

#include <egretlatch/core/random_source.hpp>

#include <load/planned_request.hpp>
#include <load/scenario.hpp>

namespace standin::load
{

/**
 * @brief Draws the requests of a scenario's mix.
 *
 * Each second has exactly the rate of its phase, at times drawn evenly, which is a Poisson process with its count held;
 * the kinds of a second stand in their shares and in random order. So the offered worth is the same each second.
 * @param scenario The scenario; its kinds are those of the run, in the same order.
 * @param random Source of the times, orders and cancels.
 * @return The requests, earliest first.
 */
[[nodiscard]] Schedule makeSchedule(const Scenario &scenario, egretlatch::RandomSource &random);

} // namespace standin::load

#endif
