#ifndef EGRETLATCH_DECISION_CORE_HPP
#define EGRETLATCH_DECISION_CORE_HPP

#include <memory>
#include <optional>

#include <egretlatch/configuration/follower.hpp>
#include <egretlatch/configuration/report.hpp>
#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/configuration_outlet.hpp>
#include <egretlatch/decision/core_context.hpp>
#include <egretlatch/decision/drain_times.hpp>
#include <egretlatch/decision/entry_handler.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/decision/serving_handler.hpp>
#include <egretlatch/membership/contact_book.hpp>
#include <egretlatch/membership/departures.hpp>
#include <egretlatch/membership/gossip.hpp>

namespace egretlatch::decision
{

/**
 * @brief All decisions of one daemon: events in, actions out.
 *
 * Does no input or output, starts no thread and reads no clock but the one it is given, so the same events with the
 * same seed give the same actions. Not safe to use from several threads.
 */
class Core
{
public:
    /**
     * @brief Takes an event.
     * @param event What happened.
     * @return What is to be done, in this order.
     */
    [[nodiscard]] Actions handle(const Event &event);

    /**
     * @brief Gives the time at which a Tick is needed.
     * @return The time, at most one tick interval away.
     */
    [[nodiscard]] SteadyTime nextTick() const;

    /**
     * @brief Gives what this daemon may still spend of the fleet's retries.
     * @return Retries left, by service that retries were made towards.
     */
    [[nodiscard]] std::map<std::string, double> retriesLeft() const;

    /**
     * @brief Gives the members that this daemon knows.
     * @return This daemon first.
     */
    [[nodiscard]] const membership::Roster &roster() const noexcept
    {
        return m_surroundings->roster;
    }

    [[nodiscard]] std::uint64_t manifestVersion() const noexcept
    {
        return m_surroundings->manifestVersion;
    }

    /*! @brief The configuration in force; null for none. */
    [[nodiscard]] std::shared_ptr<const manifest::Manifest> manifest() const
    {
        return m_surroundings->manifest;
    }

    /**
     * @brief Gives what this daemon knows of the configurations in force.
     * @return A report for operators.
     */
    [[nodiscard]] configuration::Report configurationReport() const;

    [[nodiscard]] admission::LoadReport load() const;

    /*! @brief What the level of the server beside is decided by, for logs. */
    [[nodiscard]] std::vector<account::Figure> levelFigures() const;

    /**
     * @brief Says whether a backend server has said that it leaves.
     * @param instance Its instance name.
     * @return True if it has; it takes no more work under that name.
     */
    [[nodiscard]] bool hasLeft(const std::string &instance) const
    {
        return m_departures.contains(instance);
    }

private:
    friend class CoreBuilder;
    Core() = default;

    void dispatch(const Event &event, SteadyTime now);
    void handleMessage(const protocol::Envelope &envelope, SteadyTime now);
    void handleAnnounced(const ServerAnnounced &announced, SteadyTime now);
    void handleDraining(const ServerDraining &draining, SteadyTime now);
    [[nodiscard]] bool takeDeparture(const std::string &instance, SteadyTime now);
    void handleDepartureNews(const std::string &instance, SteadyTime now);
    [[nodiscard]] bool isServerNameless() const;
    void sayDraining(SteadyTime now);
    void handleLeft(SteadyTime now);
    void handlePlatform(const PlatformAnswered &answered, SteadyTime now);
    void handleManifest(const ManifestChanged &changed);
    void declareService();
    void handleTick(SteadyTime now);
    void handlePeerLost(const PeerLost &lost, SteadyTime now);
    void handleRumour(const membership::Rumour &rumour, SteadyTime now);
    void tellCrashes(SteadyTime now);
    void tickFleet(SteadyTime now);
    void tickContacts(SteadyTime now);
    void tickServer(SteadyTime now);
    void tickLeaving(SteadyTime now);
    void tickDoor(SteadyTime now);
    void boundLastStart(SteadyTime now);
    void updateSelf(membership::MemberState state, const std::string &service, int slots, int connections, SteadyTime now);
    void applyGossip(SteadyTime now);
    void followRaise();
    [[nodiscard]] bool isIdle() const noexcept;
    [[nodiscard]] Actions deliverToSelf(SteadyTime now);

    std::unique_ptr<CoreContext> m_surroundings;
    std::unique_ptr<ServingHandler> m_serving;
    std::unique_ptr<EntryHandler> m_entry;
    std::unique_ptr<ConfigurationOutlet> m_configurationOutlet;
    std::unique_ptr<configuration::Follower> m_configuration;
    /*! @brief A source of its own, so that calls draw the same numbers whatever the daemons tell one another. */
    std::unique_ptr<RandomSource> m_gossipRandom;
    std::unique_ptr<membership::Gossip> m_gossip;
    /*! @brief Null without a platform. */
    std::unique_ptr<membership::ContactBook> m_contactBook;
    std::optional<store::RequestId> m_contactRequest;
    /*! @brief What the backend server said last; nothing if there is none. */
    std::optional<ServerAnnounced> m_server;
    membership::Departures m_departures;
    SteadyTime m_lastAnnounced;
    SteadyTime m_lastFleetTick;
    bool m_isDraining{};
    /*! @brief Whether the daemon was told to end. */
    bool m_isSignalled{};
    DrainTimes m_doorTimes;
    /*! @brief When a backend server that leaves gets no more requests; nothing while it does not leave, or once it gets none. */
    std::optional<SteadyTime> m_doorClosesAt;
    /*! @brief When what still waits for a slot of such a server is refused. */
    std::optional<SteadyTime> m_lastStartAt;
    bool m_isShuttingDown{};
    std::optional<SteadyTime> m_leftAt;
    bool m_hasReportedDrained{};
    /*! @brief Configuration that the gate's service was last declared from; null for none. */
    std::shared_ptr<const manifest::Manifest> m_declared;
};

/*! @brief Puts a core together. */
class CoreBuilder
{
public:
    /**
     * @brief Starts with what no core can do without.
     * @param clock Source of time; must outlive the core.
     * @param random Source of random numbers; must outlive the core.
     * @param metrics Takes the core's numbers; must outlive the core.
     */
    CoreBuilder(const Clock &clock, RandomSource &random, account::MetricsSink &metrics);

    /**
     * @brief Sets the daemon's own entry.
     * @param self Its id, incarnation, endpoint and place.
     * @return This builder.
     */
    CoreBuilder &setSelf(membership::Member self);

    /**
     * @brief Adds a daemon to turn to at the start.
     * @param contact Its id and endpoint.
     * @return This builder.
     */
    CoreBuilder &addContact(membership::Contact contact);

    /**
     * @brief Sets how servers are chosen.
     * @param router The router; by default the least loaded of two.
     * @return This builder.
     */
    CoreBuilder &setRouter(std::unique_ptr<routing::Router> router);

    /**
     * @brief Sets how roots are let in.
     * @param entryControl The control; by default every root is let in.
     * @return This builder.
     */
    CoreBuilder &setEntryControl(std::unique_ptr<admission::EntryControl> entryControl);

    /**
     * @brief Sets what the backend server runs.
     * @param gate The gate; by default a static limit.
     * @return This builder.
     */
    CoreBuilder &setGate(std::unique_ptr<admission::Gate> gate);

    /**
     * @brief Takes configurations from the platform, and from daemons that do; by default none are looked for.
     * @return This builder.
     */
    CoreBuilder &followPlatform();

    /**
     * @brief Takes configurations from ManifestAccepted events and from other daemons, not from the store.
     * @return This builder.
     */
    CoreBuilder &setConfigurationFeed();

    /**
     * @brief Sets how attempts are made.
     * @param rules The rules.
     * @return This builder.
     */
    CoreBuilder &setEntryRules(const EntryRules &rules);

    /**
     * @brief Sets how long a leaving backend server takes requests of daemons that do not know yet.
     * @param times The times; by default none at all.
     * @return This builder.
     */
    CoreBuilder &setDrainTimes(const DrainTimes &times);

    /**
     * @brief Sets what is done with keys that name no owner.
     * @param unownedKeys The rule; by default they are refused.
     * @return This builder.
     */
    CoreBuilder &setUnownedKeys(retry::UnownedKeys unownedKeys);

    /**
     * @brief Sets what the transport between daemons does with messages to a daemon that starts again.
     * @param delivery What it does; by default a message may reach several lives.
     * @return This builder.
     */
    CoreBuilder &setDelivery(Delivery delivery);

    /**
     * @brief Lets the daemon go on under a higher incarnation, told by IncarnationRaised, where its earlier life had one that overrules it.
     * @return This builder.
     */
    CoreBuilder &allowIncarnationRaise();

    /**
     * @brief Lets the platform's table tell the owners of keys that carry a time; without this, it is not asked.
     * @param times Lengths of the grants.
     * @return This builder.
     */
    CoreBuilder &setKeyGrants(retry::GrantTimes times);

    /**
     * @brief Sets how much is remembered of request keys.
     * @param limits The bounds.
     * @return This builder.
     */
    CoreBuilder &setKeyLedgerLimits(retry::KeyLedgerLimits limits);

    /**
     * @brief Builds the core.
     * @return The core; the builder is used up.
     */
    [[nodiscard]] std::unique_ptr<Core> build();

private:
    const Clock &m_clock;
    RandomSource &m_random;
    account::MetricsSink &m_metrics;
    membership::Member m_self;
    std::vector<membership::Contact> m_contacts;
    std::unique_ptr<routing::Router> m_router;
    std::unique_ptr<admission::EntryControl> m_entryControl;
    std::unique_ptr<admission::Gate> m_gate;
    bool m_followsPlatform{};
    bool m_isFed{};
    EntryRules m_entryRules;
    DrainTimes m_doorTimes;
    retry::UnownedKeys m_unownedKeys{retry::UnownedKeys::refuse};
    Delivery m_delivery{Delivery::severalIncarnations};
    bool m_mayRaise{};
    retry::KeyLedgerLimits m_ledgerLimits;
    std::optional<retry::GrantTimes> m_grantTimes;
};

} // namespace egretlatch::decision

#endif
