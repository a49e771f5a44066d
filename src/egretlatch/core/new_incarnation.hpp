#ifndef EGRETLATCH_CORE_NEW_INCARNATION_HPP
#define EGRETLATCH_CORE_NEW_INCARNATION_HPP

#include <cstdint>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>

namespace egretlatch
{

/*! @brief Draws a seed from the random device of the operating system. */
[[nodiscard]] std::uint64_t randomSeed();

/**
 * @brief Returns the number for an incarnation that begins now.
 *
 * The number is the wall clock time, so the next incarnation of a daemon has a higher one without any stored state.
 * @param clock Source of time.
 */
[[nodiscard]] Incarnation newIncarnation(const Clock &clock);

} // namespace egretlatch

#endif
