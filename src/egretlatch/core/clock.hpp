#ifndef EGRETLATCH_CORE_CLOCK_HPP
#define EGRETLATCH_CORE_CLOCK_HPP

#include <chrono>

namespace egretlatch
{

/*! @brief Time point of the monotonic clock; meaningless on another machine. */
using SteadyTime = std::chrono::steady_clock::time_point;
/*! @brief Time point of the wall clock; may jump, and differs between machines. */
using WallTime = std::chrono::system_clock::time_point;
/*! @brief Duration in nanoseconds. */
using Duration = std::chrono::nanoseconds;

/*! @brief Source of the current time. */
class Clock
{
public:
    virtual ~Clock() = default;

    /**
     * @brief Returns the time for measuring durations.
     * @return The current monotonic time.
     */
    [[nodiscard]] virtual SteadyTime steadyNow() const = 0;

    /**
     * @brief Returns the time for display and for comparison with request keys.
     * @return The current wall clock time.
     */
    [[nodiscard]] virtual WallTime wallNow() const = 0;
};

/*! @brief Clock of the operating system. */
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
