#ifndef EGRETLATCH_RETRY_REPLAY_WINDOW_HPP
#define EGRETLATCH_RETRY_REPLAY_WINDOW_HPP

#include <bitset>
#include <map>

#include <egretlatch/core/ids.hpp>

namespace egretlatch::retry
{

/**
 * @brief Accepts each call of each daemon once.
 *
 * Guards against messages that the transport delivers twice, possibly long after the first copy was processed: the second
 * copy would run a request again, or run one that was refused as not run. Call ids of one incarnation only increase, so the
 * window holds only the latest ones; calls with lower ids are rejected, seen or not.
 */
class ReplayWindow
{
public:
    /*! @brief Call ids tracked per daemon; a call whose id is this much below the highest one is rejected. */
    static constexpr std::size_t size = 4096;

    /**
     * @brief Checks and records a call.
     * @param daemon The daemon that makes the call.
     * @param incarnation Incarnation of the daemon; once a later one is known, calls of earlier ones are rejected.
     * @param call The call.
     * @return True if the call is new; at most once for each call.
     */
    [[nodiscard]] bool accept(const DaemonId &daemon, Incarnation incarnation, CallId call);

private:
    struct Window
    {
        Incarnation incarnation;
        std::uint64_t highest{};
        std::bitset<size> seen;
    };

    std::map<DaemonId, Window> m_windows;
};

} // namespace egretlatch::retry

#endif
