#ifndef EGRETLATCH_ADMISSION_LEVEL_TIMES_HPP
#define EGRETLATCH_ADMISSION_LEVEL_TIMES_HPP

#include <chrono>

namespace egretlatch::admission
{

/*! @brief Time constants of the level control. The defaults suit servers with dozens of short runs at a time. */
struct LevelTimes
{
    /*! @brief Time over which demand is averaged. */
    std::chrono::milliseconds demandWindow{150};
    std::chrono::milliseconds minStepInterval{20};
    /*! @brief Longest wait between two steps that lower the level. */
    std::chrono::milliseconds maxStepInterval{200};

    friend bool operator==(const LevelTimes &, const LevelTimes &) = default;
};

} // namespace egretlatch::admission

#endif
