#ifndef EGRETLATCH_MEMBERSHIP_PING_RELAYS_HPP
#define EGRETLATCH_MEMBERSHIP_PING_RELAYS_HPP

#include <cstdint>
#include <map>
#include <optional>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>

namespace egretlatch::membership
{

/*! @brief A ping made for another daemon. */
struct PingRelay
{
    DaemonId requester;
    Incarnation incarnation;
    /*! @brief Number that the requester gave its ping. */
    std::uint64_t sequence{};

    friend bool operator==(const PingRelay &, const PingRelay &) = default;
};

/*! @brief The pings that a daemon made for others and that are not answered yet; each is forgotten after a second. */
class PingRelays
{
public:
    /**
     * @brief Keeps a ping.
     * @param sequence Number of the ping that went out.
     * @param relay For whom it was made.
     * @param now Current time.
     */
    void add(std::uint64_t sequence, const PingRelay &relay, SteadyTime now);

    /**
     * @brief Takes out a ping that is answered.
     * @param sequence Number that the answer names.
     * @return For whom it was made; nothing if it was this daemon's own, or is forgotten.
     */
    [[nodiscard]] std::optional<PingRelay> take(std::uint64_t sequence);

    /**
     * @brief Forgets what is too old.
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
