#ifndef EGRETLATCH_ADMISSION_RANK_HPP
#define EGRETLATCH_ADMISSION_RANK_HPP

#include <algorithm>
#include <cmath>
#include <compare>
#include <cstdint>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/uuid.hpp>

namespace egretlatch::admission
{

/*! @brief Value of a request; inner calls inherit it from their root. */
struct Rank
{
    /*! @brief Priority of the root's kind, 0 to 9; higher is shed later. */
    int priority{};
    /*! @brief Value earned when the root completes as a whole. */
    double worth{};
    /*! @brief Slot time that the root has used so far. */
    Duration invested{};

    friend bool operator==(const Rank &, const Rank &) = default;
};

/*! @brief Class of requests that are shed alike: those of one priority and about the same worth density. */
struct RankClass
{
    int priority{};
    /*! @brief Worth per second of slot time, on a log2 scale in whole steps; 0 for requests without worth. */
    int density{};

    friend auto operator<=>(const RankClass &, const RankClass &) = default;
};

/**
 * @brief Returns the class of a rank at one service.
 *
 * The class depends on the slot time needed at that service, so a root may have a high density at one service and a low one
 * at another, and each overloaded service keeps the roots with the most worth for its own slots. The steps are coarse, so
 * that kinds of nearly the same density are shed in shares of each rather than one after the other, and so that a kind is
 * in the same class on all daemons although each observes a slightly different cost.
 * @param rank The rank.
 * @param held Slot time that the root takes at the service, as declared or observed.
 * @return The class.
 */
[[nodiscard]] inline RankClass classOf(const Rank &rank, const Duration held) noexcept
{
    constexpr double stepsPerOctave = 1.0;
    constexpr double middle = 16.0;
    constexpr double highest = 63.0;
    if (!(rank.worth > 0.0) || held <= Duration{}) {
        return {.priority = rank.priority, .density = 0};
    }
    const double density = rank.worth / std::chrono::duration<double>(held).count();
    const double steps = std::clamp(stepsPerOctave * std::log2(density) + middle, 1.0, highest);
    return {.priority = rank.priority, .density = static_cast<int>(std::lround(steps))};
}

/**
 * @brief Admission threshold of a service.
 *
 * Requests of a lower class are refused. Of the same class, the share `fraction` is refused; every daemon refuses the same
 * roots, because they are selected by a hash of the root.
 */
struct Level
{
    int priority{};
    int density{};
    /*! @brief Refused share of this class, 0 to 1. */
    double fraction{};

    [[nodiscard]] RankClass rankClass() const noexcept
    {
        return {.priority = priority, .density = density};
    }

    friend auto operator<=>(const Level &, const Level &) = default;
};

/**
 * @brief Maps a root to a fixed position within its class.
 * @param root The root.
 * @return A number in [0, 1), the same on every daemon.
 */
[[nodiscard]] inline double hashFraction(const Uuid &root) noexcept
{
    constexpr int unusedBits = 11;
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(root.hash() >> unusedBits) * scale;
}

/**
 * @brief Checks if a level admits a request.
 * @param level The threshold of a service.
 * @param rankClass Class of the request at that service.
 * @param root Root of the request.
 * @return True if it is admitted.
 */
[[nodiscard]] inline bool admits(const Level &level, const RankClass &rankClass, const Uuid &root) noexcept
{
    if (rankClass != level.rankClass()) {
        return rankClass > level.rankClass();
    }
    return hashFraction(root) >= level.fraction;
}

} // namespace egretlatch::admission

#endif
