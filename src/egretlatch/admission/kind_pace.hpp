#ifndef EGRETLATCH_ADMISSION_KIND_PACE_HPP
#define EGRETLATCH_ADMISSION_KIND_PACE_HPP

#include <string>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::admission
{

/*! @brief How fast one backend server is at requests of a kind. */
struct KindPace
{
    std::string kind;
    /*! @brief Time that a run takes lately, without what it waits for inner calls. */
    Duration own{};

    friend bool operator==(const KindPace &, const KindPace &) = default;
};

} // namespace egretlatch::admission

#endif
