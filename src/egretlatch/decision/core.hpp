#ifndef EGRETLATCH_DECISION_CORE_HPP
#define EGRETLATCH_DECISION_CORE_HPP

#include <memory>
#include <optional>

#include <egretlatch/configuration/follower.hpp>
#include <egretlatch/configuration/report.hpp>
#include <egretlatch/decision/account_gate.hpp>
#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/configuration_delegate.hpp>
#include <egretlatch/decision/core_context.hpp>
#include <egretlatch/decision/drain_times.hpp>
#include <egretlatch/decision/entry_handler.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/decision/serving_handler.hpp>
#include <egretlatch/decision/suspect_record.hpp>
#include <egretlatch/membership/contact_book.hpp>
#include <egretlatch/membership/departure_record.hpp>
#include <egretlatch/membership/departures.hpp>
#include <egretlatch/membership/gossip.hpp>

namespace egretlatch::decision
{

/**
 * @brief Decision core of one daemon: turns events into actions.
 *
 * Does no I/O, starts no thread and reads only the injected clock, so the same events with the same seed produce the
 * same actions. Not thread-safe.
 */
class Core
{
public:
    /**
     * @brief Handles an event.
     * @param event The event.
     * @return The actions to execute, in this order.
     */
    [[nodiscard]] Actions handle(const Event &event);

    /**
     * @brief Returns the time at which the next Tick is due.
     * @return The time, at most one tick interval away.
     */
    [[nodiscard]] SteadyTime nextTick() const;

    /**
     * @brief Returns this daemon's remaining part of the fleet's retry budget.
     * @return Retries left, by called service.
     */
    [[nodiscard]] std::map<std::string, double> retriesLeft() const;

    /**
     * @brief Returns the known members.
     * @return The roster; this daemon comes first.
     */
    [[nodiscard]] const membership::Roster &roster() const noexcept
    {
        return m_context->roster;
    }

    [[nodiscard]] std::uint64_t manifestVersion() const noexcept
    {
        return m_context->manifestVersion;
    }

    /*! @brief Returns the configuration in force; null for none. */
    [[nodiscard]] std::shared_ptr<const manifest::Manifest> manifest() const
    {
        return m_context->manifest;
    }

    /**
     * @brief Returns the configuration versions known to be in force in the fleet.
     * @return A report for operators.
     */
    [[nodiscard]] configuration::Report configurationReport() const;

    /**
     * @brief Decides whether the caller should read configurations from the store now; for cores with a configuration feed.
     * @return The reason to read, or none; to be called several times a second.
     */
    [[nodiscard]] configuration::ReadReason reasonToReadConfiguration();

    /*! @brief Returns the place of this daemon among those that read configurations for the fleet. */
    [[nodiscard]] configuration::ReadTurn configurationReadTurn();

    /**
     * @brief Returns the age of the store's latest confirmation, known here, that no newer configuration was accepted.
     * @return The age; nothing without a confirmation.
     */
    [[nodiscard]] std::optional<Duration> configurationConfirmedAge() const;

    /**
     * @brief Returns the greatest age that the configuration in force can have.
     * @return The age; nothing without a proof.
     */
    [[nodiscard]] std::optional<Duration> configurationProofAge() const;

    /*! @brief Counts the client accounts with requests here whose quota is short. */
    [[nodiscard]] std::size_t countShortQuotas() const
    {
        return m_accounts->quotas().countShort();
    }

    [[nodiscard]] admission::LoadReport load() const;

    /*! @brief Returns the time without a message from any other daemon, and whether it is reported as isolation. */
    [[nodiscard]] membership::PeerSilence peerSilence() const;

    /*! @brief Returns the figures that determine the admission level of the local server, for logs. */
    [[nodiscard]] std::vector<account::Figure> levelFigures() const;

    /**
     * @brief Checks for a reported departure of a backend server.
     * @param instance Its instance name.
     * @return True if its departure is known; it gets no more work under that name.
     */
    [[nodiscard]] bool hasLeft(const std::string &instance) const
    {
        return m_departures.contains(instance);
    }

    /**
     * @brief Checks whether a departure binds later incarnations of this daemon too.
     * @param instance Instance name of the server.
     * @return True if it is in the store; always, if departures are not kept there.
     */
    [[nodiscard]] bool isDepartureSaved(const std::string &instance) const
    {
        return m_departureRecord == nullptr || m_departureRecord->isSaved(instance);
    }

    /*! @brief Checks whether the departures of before this daemon's start are known; until then no backend server is announced. */
    [[nodiscard]] bool knowsEarlierDepartures() const noexcept
    {
        return m_departureRecord == nullptr || m_departureRecord->knowsEarlier();
    }

private:
    friend class CoreBuilder;
    Core() = default;

    void dispatch(const Event &event, SteadyTime now);
    void handleMessage(const protocol::Envelope &envelope, SteadyTime now);
    void handleAnnounced(const ServerAnnounced &announced, SteadyTime now);
    void acceptAnnouncement(const ServerAnnounced &announced, SteadyTime now);
    void releaseAnnouncement(SteadyTime now);
    void handleDraining(const ServerDraining &draining, SteadyTime now);
    [[nodiscard]] bool recordDeparture(const std::string &instance, SteadyTime now);
    void handleEarlierDeparture(const std::string &instance, SteadyTime now);
    void handleDepartureReply(const store::Outcome &outcome, SteadyTime now);
    void handlePeerKnowledge(SteadyTime now);
    void tickDepartures(SteadyTime now);
    [[nodiscard]] bool isServerUnnamed() const;
    void publishDraining(SteadyTime now);
    void handleLeft(SteadyTime now);
    void handlePlatform(const PlatformAnswered &answered, SteadyTime now);
    void handleManifest(const ManifestChanged &changed);
    void declareService();
    void handleTick(SteadyTime now);
    void handlePeerLost(const PeerLost &lost, SteadyTime now);
    void handleRumour(const membership::Rumour &rumour, SteadyTime now);
    void handleNotice(const RunEnded &ended, SteadyTime now);
    void noteReplacement(const ServerAnnounced &announced, SteadyTime now);
    void spreadCrashReports(SteadyTime now);
    void spreadCrashReport(const CrashReport &report, SteadyTime now);
    void applyCrashReport(const CrashReport &report, SteadyTime now);
    void saveSuspects(const std::vector<admission::RequestIdentity> &requests, SteadyTime now);
    void handleSuspectReply(const store::Outcome &outcome, SteadyTime now);
    void tickSuspects(SteadyTime now);
    void tickSuspectRecord(SteadyTime now);
    void tickFleet(SteadyTime now);
    void tickContacts(SteadyTime now);
    void tickServer(SteadyTime now);
    void tickShutdown(SteadyTime now);
    void tickDrain(SteadyTime now);
    void limitLastStart(SteadyTime now);
    void updateSelf(membership::MemberState state, const std::string &service, int slots, int connections, SteadyTime now);
    void applyGossip(SteadyTime now);
    void adoptRaisedIncarnation();
    [[nodiscard]] bool isIdle() const noexcept;
    [[nodiscard]] Actions deliverToSelf(SteadyTime now);

    std::unique_ptr<CoreContext> m_context;
    std::unique_ptr<ServingHandler> m_serving;
    std::unique_ptr<EntryHandler> m_entry;
    std::unique_ptr<ConfigurationDelegate> m_configurationDelegate;
    std::unique_ptr<configuration::Follower> m_configuration;
    std::unique_ptr<AccountGate> m_accounts;
    /*! @brief Separate source, so that gossip does not change the random numbers drawn for calls. */
    std::unique_ptr<RandomSource> m_gossipRandom;
    std::unique_ptr<membership::Gossip> m_gossip;
    /*! @brief Null without a platform. */
    std::unique_ptr<membership::ContactBook> m_contactBook;
    std::optional<store::RequestId> m_contactRequest;
    /*! @brief Null if departures are not kept in the store. */
    std::unique_ptr<membership::DepartureRecord> m_departureRecord;
    std::optional<store::RequestId> m_departureRequest;
    /*! @brief Null if suspect requests are not kept in the store. */
    std::unique_ptr<SuspectRecord> m_suspectRecord;
    std::optional<store::RequestId> m_suspectRequest;
    /*! @brief Latest announcement received while departures of before this daemon's start are not known. */
    std::optional<ServerAnnounced> m_heldAnnouncement;
    /*! @brief Last announcement of the backend server; empty if there is no server. */
    std::optional<ServerAnnounced> m_server;
    membership::Departures m_departures;
    SteadyTime m_lastAnnounced;
    SteadyTime m_lastFleetTick;
    SteadyTime m_lastSuspectsExpiry;
    bool m_isDraining{};
    /*! @brief Set once the daemon has received the signal to end. */
    bool m_isSignalled{};
    DrainTimes m_drainTimes;
    /*! @brief Time at which a draining backend server stops accepting requests; empty if it is not draining or has already stopped. */
    std::optional<SteadyTime> m_stopAcceptingAt;
    /*! @brief Time at which requests still waiting for a slot of such a server are refused. */
    std::optional<SteadyTime> m_lastStartAt;
    bool m_isShuttingDown{};
    std::optional<SteadyTime> m_goneAnnouncedAt;
    bool m_hasReportedDrained{};
    /*! @brief Configuration that last set the service declaration of the gate; null for none. */
    std::shared_ptr<const manifest::Manifest> m_declared;
};

/*! @brief Builds a decision core. */
class CoreBuilder
{
public:
    /**
     * @brief Starts with the mandatory dependencies.
     * @param clock Source of time; must outlive the core.
     * @param random Source of random numbers; must outlive the core.
     * @param metrics Receives the metrics of the core; must outlive the core.
     */
    CoreBuilder(const Clock &clock, RandomSource &random, account::MetricsSink &metrics);

    /**
     * @brief Sets the daemon's own roster entry.
     * @param self Its id, incarnation, endpoint and location.
     * @return This builder.
     */
    CoreBuilder &setSelf(membership::Member self);

    /**
     * @brief Adds a daemon to contact at startup.
     * @param contact Its id and endpoint.
     * @return This builder.
     */
    CoreBuilder &addContact(membership::Contact contact);

    /**
     * @brief Sets the selection of servers.
     * @param router The router; by default the least loaded of two.
     * @return This builder.
     */
    CoreBuilder &setRouter(std::unique_ptr<routing::Router> router);

    /**
     * @brief Sets the admission of roots.
     * @param entryControl The control; by default every root is admitted.
     * @return This builder.
     */
    CoreBuilder &setEntryControl(std::unique_ptr<admission::EntryControl> entryControl);

    /**
     * @brief Sets the admission control of the backend server.
     * @param gate The gate; by default a static limit.
     * @return This builder.
     */
    CoreBuilder &setGate(std::unique_ptr<admission::Gate> gate);

    /**
     * @brief Follows configurations from the platform, and from daemons that do; off by default.
     * @return This builder.
     */
    CoreBuilder &followPlatform();

    /**
     * @brief Follows configurations from ManifestAccepted events and from other daemons instead of the store.
     * @return This builder.
     */
    CoreBuilder &setConfigurationFeed();

    /**
     * @brief Keeps departures of the backend server in the store, and trusts its announcements only once those of before are known.
     * @param isFirstStart True if the fleet starts for the first time, so that there are none.
     * @return This builder.
     */
    CoreBuilder &keepDepartures(bool isFirstStart);

    /**
     * @brief Keeps the evidence against requests that crash backend servers in the store.
     * @param isFirstStart True if the fleet starts for the first time, so that there is none.
     * @return This builder.
     */
    CoreBuilder &keepSuspects(bool isFirstStart);

    /**
     * @brief Sets the rules for calls of client accounts.
     * @param rules The rules.
     * @return This builder.
     */
    CoreBuilder &setAccountRules(const AccountRules &rules);

    /**
     * @brief Sets the rules for attempts.
     * @param rules The rules.
     * @return This builder.
     */
    CoreBuilder &setEntryRules(const EntryRules &rules);

    /**
     * @brief Sets the time for which a draining backend server accepts requests of daemons that have not learned of the drain.
     * @param times The times; zero by default.
     * @return This builder.
     */
    CoreBuilder &setDrainTimes(const DrainTimes &times);

    /**
     * @brief Sets the handling of keys that name no owner.
     * @param unownedKeys The rule; by default they are refused.
     * @return This builder.
     */
    CoreBuilder &setUnownedKeys(retry::UnownedKeys unownedKeys);

    /**
     * @brief Sets the guarantee of the transport for messages to a daemon that restarts.
     * @param delivery The guarantee; by default a message may reach several incarnations.
     * @return This builder.
     */
    CoreBuilder &setDelivery(Delivery delivery);

    /**
     * @brief Allows the daemon to raise its incarnation, reported by IncarnationRaised, if its previous one supersedes the
     * current one.
     * @return This builder.
     */
    CoreBuilder &allowIncarnationRaise();

    /**
     * @brief Enables ownership of timestamped keys through grants in the platform's table; by default the table is not queried.
     * @param times Durations of the grants.
     * @return This builder.
     */
    CoreBuilder &setKeyGrants(retry::GrantTimes times);

    /**
     * @brief Sets the size of the key ledgers.
     * @param limits The limits.
     * @return This builder.
     */
    CoreBuilder &setKeyLedgerLimits(retry::KeyLedgerLimits limits);

    /**
     * @brief Builds the core.
     * @return The core; the builder must not be used again.
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
    bool m_receivesManifests{};
    /*! @brief Nothing if departures are not kept in the store. */
    std::optional<bool> m_isFirstStart;
    /*! @brief Nothing if suspect requests are not kept in the store. */
    std::optional<bool> m_isFirstStartOfSuspects;
    AccountRules m_accountRules;
    EntryRules m_entryRules;
    DrainTimes m_drainTimes;
    retry::UnownedKeys m_unownedKeys{retry::UnownedKeys::refuse};
    Delivery m_delivery{Delivery::severalIncarnations};
    bool m_mayRaise{};
    retry::KeyLedgerLimits m_ledgerLimits;
    std::optional<retry::GrantTimes> m_grantTimes;
};

} // namespace egretlatch::decision

#endif
