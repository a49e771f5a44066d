#ifndef EGRETLATCH_MEMBERSHIP_PING_RELAYS_HPP
#define EGRETLATCH_MEMBERSHIP_PING_RELAYS_HPP

#include <cstdint>
#include <map>
#include <optional>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>

namespace egretlatch::membership
{

/*! @brief Ping sent on behalf of another daemon. */
struct PingRelay
{
    DaemonId requester;
    Incarnation incarnation;
    /*! @brief Sequence number of the requester's probe. */
    std::uint64_t sequence{};

    friend bool operator==(const PingRelay &, const PingRelay &) = default;
};

/*! @brief Pings sent on behalf of other daemons that await an ack; each expires after a second. */
class PingRelays
{
public:
    /**
     * @brief Adds a relayed ping.
     * @param sequence Sequence number of the ping that was sent.
     * @param relay Daemon and probe that it was sent for.
     * @param now Current time.
     */
    void add(std::uint64_t sequence, const PingRelay &relay, SteadyTime now);

    /**
     * @brief Removes a ping that was acknowledged.
     * @param sequence Sequence number in the ack.
     * @return Daemon and probe that the ping was sent for; nothing if it was this daemon's own or has expired.
     */
    [[nodiscard]] std::optional<PingRelay> take(std::uint64_t sequence);

    /**
     * @brief Removes expired pings.
     * @param now Current time.
     */
    void expire(SteadyTime now);

private:
    struct Entry
    {
        PingRelay relay;
        SteadyTime expires;
    };

    std::map<std::uint64_t, Entry> m_relays;
};

} // namespace egretlatch::membership

#endif
