#ifndef EGRETLATCH_ADMISSION_RANK_HPP
#define EGRETLATCH_ADMISSION_RANK_HPP

#include <cstdint>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/uuid.hpp>

namespace egretlatch::admission
{

/*! @brief How valuable a request is; inner calls inherit it from their root. */
struct Rank
{
    /*! @brief Priority of the root's kind, 0 to 9; higher is shed later. */
    int priority{};
    /*! @brief Worth of the root per second of slot time that its whole chain needs. */
    double worthDensity{};
    /*! @brief Slot time that has been spent on the root so far. */
    Duration invested{};

    friend bool operator==(const Rank &, const Rank &) = default;
};

/**
 * @brief A threshold that a daemon admits requests by.
 *
 * Requests of a lower priority are refused. Of the same priority, the share `fraction` is refused, and it is
 * the same roots on every daemon, since the share is taken by a hash of the root.
 */
struct Level
{
    int priority{};
    /*! @brief Refused share of that priority, 0 to 1. */
    double fraction{};

    friend auto operator<=>(const Level &, const Level &) = default;
};

/**
 * @brief Gives a root's place within its priority.
 * @param root The root.
 * @return A number in [0, 1), the same on every daemon.
 */
[[nodiscard]] inline double placeOf(const Uuid &root) noexcept
{
    constexpr int unusedBits = 11;
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(root.hash() >> unusedBits) * scale;
}

/**
 * @brief Tells whether a level lets a request pass.
 * @param level The threshold.
 * @param rank Rank of the request.
 * @param root Root of the request.
 * @return True if it is admitted.
 */
[[nodiscard]] inline bool admits(const Level &level, const Rank &rank, const Uuid &root) noexcept
{
    if (rank.priority != level.priority) {
        return rank.priority > level.priority;
    }
    return placeOf(root) >= level.fraction;
}

} // namespace egretlatch::admission

#endif
