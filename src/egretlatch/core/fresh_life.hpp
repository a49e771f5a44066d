#ifndef EGRETLATCH_CORE_FRESH_LIFE_HPP
#define EGRETLATCH_CORE_FRESH_LIFE_HPP

#include <cstdint>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>

namespace egretlatch
{

/*! @brief Draws a seed from the machine's own source of randomness. */
[[nodiscard]] std::uint64_t freshSeed();

/**
 * @brief Gives the number of a life that begins now.
 *
 * It is calendar time, so that the next life of a daemon has a higher number without anything being kept.
 * @param clock Source of time.
 */
[[nodiscard]] Incarnation incarnationAt(const Clock &clock);

} // namespace egretlatch

#endif
