#ifndef EGRETLATCH_ADMISSION_LOAD_REPORT_HPP
#define EGRETLATCH_ADMISSION_LOAD_REPORT_HPP

#include <egretlatch/admission/rank.hpp>
#include <egretlatch/core/clock.hpp>

namespace egretlatch::admission
{

/*! @brief Load of a backend server, reported by its daemon with each answer. */
struct LoadReport
{
    int inFlight{};
    /*! @brief Current concurrency limit. */
    int limit{};
    int queued{};
    /*! @brief Admission level; requests below it are refused. */
    Level level;
    /*! @brief Current wait for a slot. */
    Duration queueDelay{};
    bool draining{};

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

} // namespace egretlatch::admission

#endif
