#ifndef EGRETLATCH_STORE_STORE_TIME_HPP
#define EGRETLATCH_STORE_STORE_TIME_HPP

#include <chrono>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::store
{

/*! @brief Steady clock of the platform's store, which its answers carry. */
struct StoreClock
{
    using duration = std::chrono::milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<StoreClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the name that the standard requires of a clock
};

/*! @brief Time point of the store's clock; the same for all daemons. */
using StoreTime = StoreClock::time_point;

/*! @brief Store's clock as read from one answer. */
struct ClockReading
{
    /*! @brief Time at which the request was sent, not later than the time at which the store answered. */
    BootTime sentAt;
    StoreTime now;

    friend bool operator==(const ClockReading &, const ClockReading &) = default;
};

} // namespace egretlatch::store

#endif
