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
    /*! @brief What the root earns when it completes whole. */
    double worth{};
    /*! @brief Slot time that has been spent on the root so far. */
    Duration invested{};

    friend bool operator==(const Rank &, const Rank &) = default;
};

/*! @brief The requests that are shed alike: those of one priority and about one worth density. */
struct RankClass
{
    int priority{};
    /*! @brief Worth for a second of slot time, in octaves; 0 for requests that earn nothing. */
    int density{};

    friend auto operator<=>(const RankClass &, const RankClass &) = default;
};

/**
 * @brief Gives the class that a rank has at one service.
 *
 * It rests on the slot time that is needed there, so a root may be dense at one service and thin at another, and each
 * service that is short of slots keeps the roots that make the most of its own. The steps are coarse, so that kinds of
 * nearly the same density are shed in shares of each rather than one after the other, and so that one kind is in one class
 * on all daemons although each observes its cost a little differently.
 * @param rank The rank.
 * @param held Slot time of the service that counts for it, as declared or observed.
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
[[nodiscard]] inline double hashFraction(const Uuid &root) noexcept
{
    constexpr int unusedBits = 11;
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(root.hash() >> unusedBits) * scale;
}

/**
 * @brief Tells whether a level lets a request pass.
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
