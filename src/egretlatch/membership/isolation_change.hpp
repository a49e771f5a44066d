#ifndef EGRETLATCH_MEMBERSHIP_ISOLATION_CHANGE_HPP
#define EGRETLATCH_MEMBERSHIP_ISOLATION_CHANGE_HPP

#include <egretlatch/core/clock.hpp>

namespace egretlatch::membership
{

/*! @brief Begin or end of a daemon's isolation. */
struct IsolationChange
{
    bool isIsolated{};
    /*! @brief Time without a message from any other daemon: so far at the begin, in total at the end. */
    Duration silence{};

    friend bool operator==(const IsolationChange &, const IsolationChange &) = default;
};

} // namespace egretlatch::membership

#endif
