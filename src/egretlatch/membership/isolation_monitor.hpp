#ifndef EGRETLATCH_MEMBERSHIP_ISOLATION_MONITOR_HPP
#define EGRETLATCH_MEMBERSHIP_ISOLATION_MONITOR_HPP

#include <optional>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/membership/isolation_change.hpp>
#include <egretlatch/membership/peer_silence.hpp>

namespace egretlatch::membership
{

/**
 * @brief Detects that no message of any other daemon arrives although some are expected, and that messages arrive again.
 *
 * Whether the network, the other daemons or this daemon's own receiving is at fault cannot be told from here.
 */
class IsolationMonitor
{
public:
    /**
     * @brief Records that a message from another daemon arrived. Called for each message.
     * @param now Current time.
     */
    void noteMessage(const SteadyTime now) noexcept
    {
        m_silentSince = now;
    }

    /**
     * @brief Checks the time without messages. Must be called regularly: a long gap between two calls is taken for a pause of this
     * daemon and does not count.
     * @param expectsMessages True if any other daemon should answer the pings of this one.
     * @param now Current time.
     * @return The change since the last call; nothing if there is none.
     */
    [[nodiscard]] std::optional<IsolationChange> tick(bool expectsMessages, SteadyTime now);

    /**
     * @brief Returns the current silence.
     * @param now Current time.
     * @return Its duration, and whether it is reported as isolation.
     */
    [[nodiscard]] PeerSilence silence(SteadyTime now) const;

private:
    void skipPause(SteadyTime now);

    /*! @brief Time of the last message, later by the length of each pause since; empty before the first message and tick. */
    std::optional<SteadyTime> m_silentSince;
    std::optional<SteadyTime> m_lastTick;
    /*! @brief Value of m_silentSince at the begin of the isolation, later by the length of each pause since; empty while not isolated. */
    std::optional<SteadyTime> m_isolatedSince;
};

} // namespace egretlatch::membership

#endif
