#ifndef EGRETLATCH_MEMBERSHIP_GOSSIP_HPP
#define EGRETLATCH_MEMBERSHIP_GOSSIP_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/membership/gossip_message.hpp>
#include <egretlatch/membership/isolation_monitor.hpp>
#include <egretlatch/membership/ping_relays.hpp>
#include <egretlatch/membership/prober.hpp>
#include <egretlatch/membership/roster.hpp>
#include <egretlatch/membership/rumour_store.hpp>
#include <egretlatch/membership/state_pull.hpp>
#include <egretlatch/membership/update_queue.hpp>

namespace egretlatch::membership
{

/*! @brief Messages to send and changes to process, as a result of calls to Gossip. */
struct GossipEffects
{
    std::vector<OutgoingGossip> messages;
    /*! @brief Received rumours that were new to this daemon. */
    std::vector<Rumour> rumours;
    /*! @brief Performance that other daemons reported for their backend servers. */
    std::vector<std::pair<DaemonId, std::vector<admission::KindPerformance>>> performance;
    bool haveMembersChanged{};
    /*! @brief Set if a daemon answered that knew an earlier, serving incarnation of this one, and sent the departures of that time. */
    bool isKnownFromBefore{};
    /*! @brief Set if the isolation of this daemon began or ended. */
    std::optional<IsolationChange> isolation;
};

/**
 * @brief Gossip protocol: disseminates membership and rumours among the daemons and detects failed daemons.
 *
 * Performs no I/O and reads no clock: it consumes messages and produces messages. The bytes that a daemon sends per second
 * are bounded independently of the fleet's size.
 */
class Gossip
{
public:
    /**
     * @brief Creates a gossip instance.
     * @param roster The members; modified only by this instance; must outlive it.
     * @param random Source of random numbers; must outlive it.
     * @param metrics Receives event counts; must outlive it.
     * @param contacts Daemons to ping until they are known as members.
     */
    Gossip(Roster &roster, RandomSource &random, account::MetricsSink &metrics, std::vector<Contact> contacts);

    /**
     * @brief Handles a received message.
     * @param sender Daemon that sent it.
     * @param incarnation Incarnation of the sender.
     * @param message The message.
     * @param now Current time.
     */
    void handle(const DaemonId &sender, Incarnation incarnation, const GossipMessage &message, SteadyTime now);

    /**
     * @brief Records that a message of any type arrived from another daemon.
     * @param now Current time.
     */
    void noteMessage(const SteadyTime now) noexcept
    {
        m_isolation.noteMessage(now);
    }

    /**
     * @brief Counts the daemons that should answer the pings of this one: members that have not announced that they leave, and
     * contacts that are not known as members.
     * @return Their number.
     */
    [[nodiscard]] std::size_t countExpected() const;

    /**
     * @brief Returns the time without a message from any other daemon.
     * @param now Current time.
     * @return Its duration, and whether it is reported as isolation.
     */
    [[nodiscard]] PeerSilence peerSilence(const SteadyTime now) const
    {
        return m_isolation.silence(now);
    }

    /**
     * @brief Runs everything that is due: probes, pulls, dissemination and expiry.
     * @param now Current time.
     */
    void tick(SteadyTime now);

    /**
     * @brief Sends a change of this daemon's own entry to a few members at once; they disseminate it further.
     * @param now Current time.
     */
    void announceSelf(SteadyTime now);

    /**
     * @brief Disseminates a rumour.
     * @param rumour The rumour; ignored if it is already known.
     * @param now Current time.
     * @return True if it was added; false if it is known, or too many are valid.
     */
    bool spread(const Rumour &rumour, SteadyTime now);

    /**
     * @brief Adds contacts.
     * @param contacts Daemons to ping until they are known as members; duplicates are ignored.
     */
    void addContacts(const std::vector<Contact> &contacts);

    /**
     * @brief Records that the transport lost, or could not open, the connection to a daemon.
     * @param daemon The daemon.
     */
    void noteUnreachable(const DaemonId &daemon);

    /**
     * @brief Returns and clears the pending effects.
     * @return All effects since the last call.
     */
    [[nodiscard]] GossipEffects takeEffects();

    [[nodiscard]] const RumourStore &rumours() const noexcept
    {
        return m_rumours;
    }

    /**
     * @brief Sets the performance that is sent with each message.
     * @param performance Performance of the local backend server, by kind.
     */
    void setPerformance(std::vector<admission::KindPerformance> performance)
    {
        m_performance = std::move(performance);
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
    void checkIsolation(SteadyTime now);
    void pull(SteadyTime now);
    void sendUpdates(int targets, SteadyTime now);
    void queue(const UpdateSubject &subject);
    [[nodiscard]] GossipMessage makeMessage(GossipPurpose purpose, SteadyTime now);
    void addUpdates(GossipMessage &message, SteadyTime now);
    void addDepartures(GossipMessage &message, const DaemonId &daemon, SteadyTime now) const;
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
    IsolationMonitor m_isolation;
    GossipEffects m_effects;
    std::vector<admission::KindPerformance> m_performance;
    std::optional<SteadyTime> m_lastTick;
    SteadyTime m_nextBeat;
    SteadyTime m_nextSpread;
    SteadyTime m_nextAbsentPing;
};

} // namespace egretlatch::membership

#endif
