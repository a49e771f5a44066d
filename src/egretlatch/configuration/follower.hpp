#ifndef EGRETLATCH_CONFIGURATION_FOLLOWER_HPP
#define EGRETLATCH_CONFIGURATION_FOLLOWER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <QByteArray>

#include <egretlatch/configuration/confirmation.hpp>
#include <egretlatch/configuration/currency_proof.hpp>
#include <egretlatch/configuration/follower_delegate.hpp>
#include <egretlatch/configuration/head.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/store/backoff.hpp>

namespace egretlatch::configuration
{

/*! @brief Sources and intervals of a Follower. */
struct FollowerOptions
{
    /*! @brief Enables the follower; without a platform there are no accepted configurations. */
    bool hasPlatform{};
    /*! @brief Turns off polls and fetches from the store, as handleAccepted() supplies complete manifests; see reasonToRead(). */
    bool receivesManifests{};
    /*! @brief Reads of the head row per second, in total over the fleet. */
    double fleetPollsPerSecond{10.0};
    Duration minPollInterval{std::chrono::seconds{2}};
    Duration maxPollInterval{std::chrono::seconds{30}};
    Duration advertInterval{std::chrono::seconds{1}};
    /*! @brief Interval of adverts while no configuration is in force; the answer to an advert announces one. */
    Duration firstAdvertInterval{std::chrono::seconds{1}};
    /*! @brief Peers that are notified at once of a new configuration. */
    std::size_t fanout{4};
    /*! @brief Time limit for a peer to send a manifest. */
    Duration bodyTimeout{std::chrono::milliseconds{500}};
    /*! @brief Age from which a proof of the configuration's age is renewed, where client accounts need one; empty if they do not. */
    std::optional<Duration> maxProofAge{};
    /*! @brief Address of this daemon's peer socket. */
    std::string endpoint;

    friend bool operator==(const FollowerOptions &, const FollowerOptions &) = default;
};

/*! @brief Version that another daemon reported as in force, and the time of the report. */
struct ReceivedVersion
{
    std::uint64_t version{};
    SteadyTime receivedAt;

    friend bool operator==(const ReceivedVersion &, const ReceivedVersion &) = default;
};

/**
 * @brief Discovers newer accepted configurations, fetches them and puts them in force; performs no I/O.
 *
 * Versions come from the head row, read by this daemon or by a peer that advertises it; nothing else is ever applied. The
 * version in force never decreases.
 */
class Follower
{
public:
    /**
     * @brief Creates a follower with no configuration in force.
     * @param delegate Sends its requests and messages and applies configurations; must outlive it.
     * @param random Source of random numbers; must outlive it.
     * @param options Sources and intervals.
     */
    Follower(FollowerDelegate &delegate, RandomSource &random, FollowerOptions options);

    /**
     * @brief Polls, advertises and retries as far as due.
     * @param now Current time.
     */
    void tick(SteadyTime now);

    /**
     * @brief Handles the advert of a peer.
     * @param sender The peer.
     * @param advert The configuration that the peer has in force.
     * @param now Current time.
     */
    void handleAdvert(const DaemonId &sender, const Advert &advert, SteadyTime now);

    /**
     * @brief Handles an accepted manifest that was received directly from the place where operators submit it.
     * @param version Its version; ignored unless it is above the one in force and not below the newest known.
     * @param manifest The complete document.
     * @param now Current time.
     */
    void handleAccepted(std::uint64_t version, const QByteArray &manifest, SteadyTime now);

    /**
     * @brief Handles a confirmation by the store that no newer configuration was accepted.
     * @param at Time of the store's answer.
     */
    void noteConfirmed(SteadyTime at);

    /**
     * @brief Handles a reading of the store's clock.
     * @param reading The reading.
     */
    void noteStoreClock(const store::ClockReading &reading)
    {
        m_proof.noteClock(reading);
    }

    /**
     * @brief Handles a proof by the store, and passes it on at once.
     * @param at Time of the store's clock up to which no configuration was accepted that is newer than those passed on here.
     * @param now Current time.
     */
    void noteProven(store::StoreTime at, SteadyTime now);

    /**
     * @brief Returns the greatest age that the configuration in force can have.
     * @param now Current time.
     * @return The age; nothing without a proof.
     */
    [[nodiscard]] std::optional<Duration> proofAge(const BootTime now) const
    {
        return m_proof.age(now);
    }

    /*! @brief Skips the delay before the first read of the store; meant for a few daemons of a fleet. */
    void hastenFirstRead()
    {
        m_confirmation.hastenFirstRead();
    }

    /**
     * @brief Decides whether the caller should read the store and pass manifests to handleAccepted(); to be called several times a second.
     * @param now Current time.
     * @param bootNow Current time, for the age of the proof.
     * @return The reason to read, or none.
     */
    [[nodiscard]] ReadReason reasonToRead(SteadyTime now, BootTime bootNow);

    /**
     * @brief Returns the age of the store's latest confirmation that no newer configuration was accepted.
     * @param now Current time.
     * @return The age; nothing without a confirmation.
     */
    [[nodiscard]] std::optional<Duration> confirmationAge(const SteadyTime now) const
    {
        return m_confirmation.age(now);
    }

    /**
     * @brief Handles a peer's request for a manifest.
     * @param sender The peer.
     * @param request The request.
     */
    void handleBodyRequest(const DaemonId &sender, const BodyRequest &request);

    /**
     * @brief Handles a manifest from a peer.
     * @param sender The peer.
     * @param reply The manifest, or an empty one.
     * @param now Current time.
     */
    void handleBodyReply(const DaemonId &sender, const BodyReply &reply, SteadyTime now);

    /**
     * @brief Handles an outcome from the platform.
     * @param id Id of the request.
     * @param outcome The outcome.
     * @param now Current time.
     * @return False if the request was not made by this follower.
     */
    bool handleOutcome(store::RequestId id, const store::Outcome &outcome, SteadyTime now);

    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_inForce.version;
    }

    [[nodiscard]] const std::string &hash() const noexcept
    {
        return m_inForce.hash;
    }

    /**
     * @brief Returns the newest version that is known to be accepted.
     * @return The version; above version() while its manifest is being fetched or cannot be parsed.
     */
    [[nodiscard]] std::uint64_t newestKnown() const noexcept
    {
        return m_target.version;
    }

    /**
     * @brief Returns the versions that other daemons reported as in force.
     * @return Reports by daemon.
     */
    [[nodiscard]] const std::map<DaemonId, ReceivedVersion> &fleet() const noexcept
    {
        return m_fleet;
    }

private:
    struct VersionAndHash
    {
        std::uint64_t version{};
        std::string hash;
    };

    void raiseTarget(std::uint64_t version, const std::string &hash, const Peer *source, SteadyTime now);
    void fetch(SteadyTime now);
    void fetchFromStore();
    void scheduleFetchRetry(SteadyTime now);
    void applyManifest(const QByteArray &manifest, const DaemonId &source, SteadyTime now);
    void handleHeadOutcome(const store::Outcome &outcome, SteadyTime now);
    void handleObjectOutcome(const store::Outcome &outcome, SteadyTime now);
    void poll(SteadyTime now);
    void schedulePoll(SteadyTime now);
    void advertise(std::vector<Peer> peers, std::size_t count, SteadyTime now);
    void advertiseIfDue(SteadyTime now);
    [[nodiscard]] bool isProofStale(BootTime bootNow) const;
    void noteConfirmationOf(const Advert &advert, SteadyTime now);
    void removeGonePeers(const std::vector<Peer> &peers);
    [[nodiscard]] Advert advert(SteadyTime now) const;
    [[nodiscard]] bool isBehind() const noexcept;

    FollowerDelegate &m_delegate;
    RandomSource &m_random;
    FollowerOptions m_options;
    VersionAndHash m_inForce;
    QByteArray m_manifest;
    VersionAndHash m_target;
    /*! @brief Peers that advertised the target version. */
    std::vector<Peer> m_sources;
    bool m_wasPeerAskedLast{};
    bool m_isTargetUnusable{};
    std::optional<SteadyTime> m_fetchDue;
    std::optional<store::RequestId> m_objectRequest;
    std::optional<store::RequestId> m_headRequest;
    store::Backoff m_pollBackoff;
    store::Backoff m_fetchBackoff;
    SteadyTime m_nextPoll;
    SteadyTime m_nextAdvert;
    Confirmation m_confirmation;
    CurrencyProof m_proof;
    /*! @brief Set if the configuration in force declares client accounts. */
    bool m_hasAccounts{};
    std::map<DaemonId, ReceivedVersion> m_fleet;
};

} // namespace egretlatch::configuration

#endif
