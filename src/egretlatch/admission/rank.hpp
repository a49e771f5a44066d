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

/*! @brief The requests that are shed alike: those of one priority and about one worth density. */
struct RankClass
{
    int priority{};
    /*! @brief Worth density in steps of half an octave; 0 for requests that earn nothing. */
    int density{};

    friend auto operator<=>(const RankClass &, const RankClass &) = default;
};

/**
 * @brief Gives the class of a rank.
 *
 * The steps are coarse, so that kinds of nearly the same density are shed in shares of each rather than one after the
 * other, and so that a small change of an observed cost seldom moves a kind.
 * @param rank The rank.
 * @return Its class.
 */
[[nodiscard]] inline RankClass classOf(const Rank &rank) noexcept
{
    constexpr double stepsPerOctave = 2.0;
    constexpr int middle = 32;
    constexpr int highest = 63;
    if (!(rank.worthDensity > 0.0)) {
        return {.priority = rank.priority, .density = 0};
    }
    const double steps = std::clamp(stepsPerOctave * std::log2(rank.worthDensity) + middle, 1.0, static_cast<double>(highest));
    return {.priority = rank.priority, .density = static_cast<int>(std::lround(steps))};
}

/**
 * @brief A threshold that a daemon admits requests by.
 *
 * Requests of a lower class are refused. Of the same class, the share `fraction` is refused, and it is the same roots on
 * every daemon, since the share is taken by a hash of the root.
 */
struct Level
{
    int priority{};
    int density{};
    /*! @brief Refused share of that class, 0 to 1. */
    double fraction{};

    [[nodiscard]] RankClass rankClass() const noexcept
    {
        return {.priority = priority, .density = density};
    }

    friend auto operator<=>(const Level &, const Level &) = default;
};

/**
 * @brief Gives a root's place within its class.
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
    const RankClass rankClass = classOf(rank);
    if (rankClass != level.rankClass()) {
        return rankClass > level.rankClass();
    }
    return placeOf(root) >= level.fraction;
}

} // namespace egretlatch::admission

#endif
