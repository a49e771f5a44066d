#ifndef EGRETLATCH_CORE_CLOCK_HPP
#define EGRETLATCH_CORE_CLOCK_HPP

#include <chrono>

namespace egretlatch
{

/*! @brief A point on the clock that never goes back; meaningless on another machine. */
using SteadyTime = std::chrono::steady_clock::time_point;
/*! @brief A point on the calendar clock; may jump, and differs between machines. */
using WallTime = std::chrono::system_clock::time_point;
/*! @brief A span of time, in nanoseconds. */
using Duration = std::chrono::nanoseconds;

/*! @brief Source of the current time. */
class Clock
{
public:
    virtual ~Clock() = default;

    /**
     * @brief Gives the time to measure spans with.
     * @return The current steady time.
     */
    [[nodiscard]] virtual SteadyTime steadyNow() const = 0;

    /**
     * @brief Gives the time to show to people and to compare with request keys.
     * @return The current calendar time.
     */
    [[nodiscard]] virtual WallTime wallNow() const = 0;
};

/*! @brief The clock of the machine. */
class SystemClock final : public Clock
{
public:
    [[nodiscard]] SteadyTime steadyNow() const override
    {
        return std::chrono::steady_clock::now();
    }

    [[nodiscard]] WallTime wallNow() const override
    {
        return std::chrono::system_clock::now();
    }
};

} // namespace egretlatch

#endif
