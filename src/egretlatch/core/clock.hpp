#ifndef EGRETLATCH_CORE_CLOCK_HPP
#define EGRETLATCH_CORE_CLOCK_HPP

#include <chrono>

#include <time.h>

namespace egretlatch
{

/*! @brief Time point of the monotonic clock; meaningless on another machine. */
using SteadyTime = std::chrono::steady_clock::time_point;
/*! @brief Time point of the wall clock; may jump, and differs between machines. */
using WallTime = std::chrono::system_clock::time_point;
/*! @brief Duration in nanoseconds. */
using Duration = std::chrono::nanoseconds;

/*! @brief Clock of the time since the machine started; other than the steady clock, it goes on while the machine is suspended. */
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the name that the standard requires of a clock
};

/*! @brief Time point of the boot clock; meaningless on another machine. */
using BootTime = BootClock::time_point;

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

    /**
     * @brief Returns the time for ages that must not be underestimated, even if the machine was suspended meanwhile.
     * @return The current time since the machine started.
     */
    [[nodiscard]] virtual BootTime bootNow() const = 0;
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

    [[nodiscard]] BootTime bootNow() const override
    {
        timespec time{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return BootTime{std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec}};
    }
};

} // namespace egretlatch

#endif
