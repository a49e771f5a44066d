#ifndef EGRETLATCH_DECISION_DRAIN_TIMES_HPP
#define EGRETLATCH_DECISION_DRAIN_TIMES_HPP

#include <egretlatch/core/clock.hpp>

namespace egretlatch::decision
{

/**
 * @brief Times for which a draining backend server still accepts new requests.
 *
 * Its daemon announces the drain immediately, and other daemons stop routing to it as they learn of it. Refusing at the same
 * moment would turn away requests sent in the meantime, and a service whose last server drains would be unavailable
 * earlier than necessary.
 */
struct DrainTimes
{
    /*! @brief Accepting time after the server's own drain report. */
    Duration afterReport{};
    /*! @brief Accepting time after the signal that ends its daemon; the server itself keeps running. */
    Duration afterSignal{};
    /*! @brief Time from the server's own drain report to the last start of a waiting request; zero for no limit. */
    Duration lastStart{};

    friend bool operator==(const DrainTimes &, const DrainTimes &) = default;
};

} // namespace egretlatch::decision

#endif
