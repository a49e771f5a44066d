#ifndef EGRETLATCH_RETRY_REPLAY_WINDOW_HPP
#define EGRETLATCH_RETRY_REPLAY_WINDOW_HPP

#include <bitset>
#include <map>

#include <egretlatch/core/ids.hpp>

namespace egretlatch::retry
{

/**
 * @brief Lets each call of each daemon pass once.
 *
 * Guards against a message that the transport delivers twice, the copy perhaps long after the first has ended: it would
 * run a request again, or run one that was refused as not run. Call ids of one life only grow, so the window need only
 * hold the latest ones; what lies below it does not pass, seen or not.
 */
class ReplayWindow
{
public:
    /*! @brief Call ids held for each daemon; a call that comes after so many newer ones does not pass. */
    static constexpr std::size_t size = 4096;

    /**
     * @brief Asks whether a call comes for the first time.
     * @param daemon The daemon that makes it.
     * @param incarnation Its life; once a later one is known, calls of this one do not pass.
     * @param call The call.
     * @return True exactly once for each call.
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
