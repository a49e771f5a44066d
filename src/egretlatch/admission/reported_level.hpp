#ifndef EGRETLATCH_ADMISSION_REPORTED_LEVEL_HPP
#define EGRETLATCH_ADMISSION_REPORTED_LEVEL_HPP

#include <egretlatch/admission/rank.hpp>
#include <egretlatch/core/clock.hpp>

namespace egretlatch::admission
{

/*! @brief Level with the time at which it was reported. */
struct ReportedLevel
{
    Level level;
    SteadyTime at;

    friend bool operator==(const ReportedLevel &, const ReportedLevel &) = default;
};

} // namespace egretlatch::admission

#endif
