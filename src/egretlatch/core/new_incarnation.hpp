#ifndef EGRETLATCH_CORE_NEW_INCARNATION_HPP
#define EGRETLATCH_CORE_NEW_INCARNATION_HPP

#include <cstdint>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>

namespace egretlatch
{

/*! @brief Draws a seed from the machine's own source of randomness. */
[[nodiscard]] std::uint64_t randomSeed();

/**
 * @brief Gives the number of a life that begins now.
 *
 * It is calendar time, so that the next life of a daemon has a higher number without anything being kept.
 * @param clock Source of time.
 */
[[nodiscard]] Incarnation newIncarnation(const Clock &clock);

} // namespace egretlatch

#endif
