#ifndef EGRETLATCH_ADMISSION_KIND_PACE_HPP
#define EGRETLATCH_ADMISSION_KIND_PACE_HPP

#include <string>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::admission
{

/*! @brief How fast one backend server is at requests of a kind, and how often it fails them. */
struct KindPace
{
    std::string kind;
    /*! @brief Time that a run takes lately, without what it waits for inner calls. */
    Duration own{};
    /*! @brief Part of the runs, 0 to 1, that it failed by itself lately: lost, turned away, or ended with a server error. */
    double failing{};

    friend bool operator==(const KindPace &, const KindPace &) = default;
};

} // namespace egretlatch::admission

#endif
