#ifndef EGRETLATCH_ADMISSION_LOAD_REPORT_HPP
#define EGRETLATCH_ADMISSION_LOAD_REPORT_HPP

#include <egretlatch/admission/rank.hpp>
#include <egretlatch/core/clock.hpp>

namespace egretlatch::admission
{

/*! @brief What a serving daemon tells of its backend server with each answer. */
struct LoadReport
{
    int inFlight{};
    /*! @brief Requests that it lets run at a time now. */
    int limit{};
    int queued{};
    /*! @brief Requests below this are refused. */
    Level level;
    /*! @brief Time that requests wait for a slot now. */
    Duration queueDelay{};
    bool draining{};

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

} // namespace egretlatch::admission

#endif
