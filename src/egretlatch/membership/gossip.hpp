#ifndef EGRETLATCH_MEMBERSHIP_GOSSIP_HPP
#define EGRETLATCH_MEMBERSHIP_GOSSIP_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/membership/gossip_message.hpp>
#include <egretlatch/membership/ping_relays.hpp>
#include <egretlatch/membership/prober.hpp>
#include <egretlatch/membership/roster.hpp>
#include <egretlatch/membership/rumour_store.hpp>
#include <egretlatch/membership/state_pull.hpp>
#include <egretlatch/membership/update_queue.hpp>

namespace egretlatch::membership
{

/*! @brief What gossip wants of the rest of the daemon. */
struct GossipEffects
{
    std::vector<OutgoingGossip> messages;
    /*! @brief Rumours that this daemon did not know. */
    std::vector<Rumour> rumours;
    /*! @brief What others told of the backend servers beside them. */
    std::vector<std::pair<DaemonId, std::vector<admission::KindPace>>> paces;
    bool haveMembersChanged{};
};

/**
 * @brief Spreads members and small facts among the daemons, and finds out which of them have died.
 *
 * Does no input or output and reads no clock: messages in, messages out. What a daemon sends in a second is bounded
 * whatever the size of the fleet.
 */
class Gossip
{
public:
    /**
     * @brief Builds it.
     * @param roster The members; changed by it alone; must outlive it.
     * @param random Source of random numbers; must outlive it.
     * @param metrics Takes counts; must outlive it.
     * @param contacts Daemons to turn to while no other member is known.
     */
    Gossip(Roster &roster, RandomSource &random, account::MetricsSink &metrics, std::vector<Contact> contacts);

    /**
     * @brief Takes a message.
     * @param sender Who sent it.
     * @param incarnation Its life.
     * @param message The message.
     * @param now Current time.
     */
    void handle(const DaemonId &sender, Incarnation incarnation, const GossipMessage &message, SteadyTime now);

    /**
     * @brief Lets time pass.
     * @param now Current time.
     */
    void tick(SteadyTime now);

    /**
     * @brief Tells a few members at once that this daemon's own entry changed; they tell the others.
     * @param now Current time.
     */
    void announceSelf(SteadyTime now);

    /**
     * @brief Spreads a small fact.
     * @param rumour The fact; nothing happens if it is known.
     * @param now Current time.
     */
    void spread(const Rumour &rumour, SteadyTime now);

    /**
     * @brief Adds daemons to turn to.
     * @param contacts The daemons; known ones are not added again.
     */
    void addContacts(const std::vector<Contact> &contacts);

    /**
     * @brief Takes it that the transport lost, or could not open, the connection to a daemon.
     * @param daemon The daemon.
     */
    void noteUnreachable(const DaemonId &daemon);

    /**
     * @brief Takes what there is to do.
     * @return All effects since the last call.
     */
    [[nodiscard]] GossipEffects takeEffects();

    [[nodiscard]] const RumourStore &rumours() const noexcept
    {
        return m_rumours;
    }

    /**
     * @brief Sets what goes with each message.
     * @param paces How fast the backend server beside this daemon is.
     */
    void setPaces(std::vector<admission::KindPace> paces)
    {
        m_paces = std::move(paces);
    }

private:
    void mergeUpdates(const DaemonId &sender, const GossipMessage &message, SteadyTime now);
    void handleMergeOutcome(MergeOutcome outcome, const DaemonId &id, UpdateSource source);
    void answerPing(const DaemonId &sender, Incarnation incarnation, const GossipMessage &message, const std::optional<Suspicion> &suspicion, SteadyTime now);
    void relayPing(const DaemonId &sender, Incarnation incarnation, const GossipMessage &message, SteadyTime now);
    void relayAck(std::uint64_t sequence, SteadyTime now);
    void answerPull(const DaemonId &sender, Incarnation incarnation, const GossipMessage &message, SteadyTime now);
    void execute(const ProbeAction &action, SteadyTime now);
    void pingDirectly(const ProbeAction &action, SteadyTime now);
    void pingIndirectly(const ProbeAction &action, SteadyTime now);
    void pingAbsent(SteadyTime now);
    void pull(SteadyTime now);
    void sendUpdates(int targets, SteadyTime now);
    void queue(const UpdateSubject &subject);
    [[nodiscard]] GossipMessage makeMessage(GossipPurpose purpose, SteadyTime now);
    void addUpdates(GossipMessage &message, SteadyTime now);
    void addDepartures(GossipMessage &message, const DaemonId &beside, SteadyTime now) const;
    [[nodiscard]] std::optional<Suspicion> suspicionOf(const DaemonId &id) const;
    [[nodiscard]] std::vector<DaemonId> chooseParticipants(std::size_t count, const DaemonId &except);
    [[nodiscard]] std::uint64_t digest() const;
    void sendTo(const DaemonId &to, GossipMessage message);

    Roster &m_roster;
    RandomSource &m_random;
    account::MetricsSink &m_metrics;
    std::vector<Contact> m_contacts;
    RumourStore m_rumours;
    UpdateQueue m_updates;
    Prober m_prober;
    StatePull m_statePull;
    PingRelays m_relays;
    GossipEffects m_effects;
    std::vector<admission::KindPace> m_paces;
    std::optional<SteadyTime> m_lastTick;
    SteadyTime m_nextBeat;
    SteadyTime m_nextSpread;
    SteadyTime m_nextAbsentPing;
};

} // namespace egretlatch::membership

#endif
