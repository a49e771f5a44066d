#ifndef EGRETLATCH_ADMISSION_NOTED_LEVEL_HPP
#define EGRETLATCH_ADMISSION_NOTED_LEVEL_HPP

#include <egretlatch/admission/rank.hpp>
#include <egretlatch/core/clock.hpp>

namespace egretlatch::admission
{

/*! @brief A level with the time at which it was told. */
struct NotedLevel
{
    Level level;
    SteadyTime at;

    friend bool operator==(const NotedLevel &, const NotedLevel &) = default;
};

} // namespace egretlatch::admission

#endif
