#ifndef EGRETLATCH_DECISION_DRAIN_TIMES_HPP
#define EGRETLATCH_DECISION_DRAIN_TIMES_HPP

#include <egretlatch/core/clock.hpp>

namespace egretlatch::decision
{

/**
 * @brief How long a backend server that leaves still gets new requests.
 *
 * Its daemon says at once that it leaves, and others stop choosing it as they hear of it. Closed at the same moment, its
 * door would turn away what they had sent meanwhile, and a service whose last server leaves would have none sooner than
 * it must.
 */
struct DrainTimes
{
    /*! @brief From the server's own word. */
    Duration afterReport{};
    /*! @brief From the signal that ends its daemon; the server itself stays. */
    Duration afterSignal{};
    /*! @brief From the server's own word to the last start of what has waited at its door; zero for no such bound. */
    Duration lastStart{};

    friend bool operator==(const DrainTimes &, const DrainTimes &) = default;
};

} // namespace egretlatch::decision

#endif
