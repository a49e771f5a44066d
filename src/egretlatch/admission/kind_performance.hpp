#ifndef EGRETLATCH_ADMISSION_KIND_PERFORMANCE_HPP
#define EGRETLATCH_ADMISSION_KIND_PERFORMANCE_HPP

#include <string>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::admission
{

/*! @brief Recent run time and failure share of one backend server for requests of a kind. */
struct KindPerformance
{
    std::string kind;
    /*! @brief Recent mean time of a run, without its waits for inner calls. */
    Duration ownTime{};
    /*! @brief Share of recent runs, 0 to 1, that this server itself failed: lost, rejected or a server error. */
    double failureShare{};

    friend bool operator==(const KindPerformance &, const KindPerformance &) = default;
};

} // namespace egretlatch::admission

#endif
