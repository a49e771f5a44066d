#ifndef EGRETLATCH_CONFIGURATION_FOLLOWER_HPP
#define EGRETLATCH_CONFIGURATION_FOLLOWER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <QByteArray>

#include <egretlatch/configuration/head.hpp>
#include <egretlatch/configuration/outlet.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/store/backoff.hpp>

namespace egretlatch::configuration
{

/*! @brief How often a Follower asks, and whom. */
struct FollowerOptions
{
    /*! @brief Without a platform there is nothing to follow. */
    bool hasPlatform{};
    /*! @brief Manifests are handed over whole, by handleAccepted(), so the store is not asked for them. */
    bool receivesManifests{};
    /*! @brief Reads of the head row a second by the whole fleet. */
    double fleetPollsPerSecond{10.0};
    Duration minPollInterval{std::chrono::seconds{2}};
    Duration maxPollInterval{std::chrono::seconds{30}};
    Duration advertInterval{std::chrono::seconds{1}};
    /*! @brief Peers that are told at once of a new configuration. */
    std::size_t fanout{4};
    /*! @brief Time that a peer has to send a manifest. */
    Duration bodyTimeout{std::chrono::milliseconds{500}};
    /*! @brief Address of this daemon's peer socket. */
    std::string endpoint;

    friend bool operator==(const FollowerOptions &, const FollowerOptions &) = default;
};

/*! @brief What another daemon said it has in force. */
struct ReceivedVersion
{
    std::uint64_t version{};
    SteadyTime heard;

    friend bool operator==(const ReceivedVersion &, const ReceivedVersion &) = default;
};

/**
 * @brief Finds out about newer accepted configurations, fetches them and puts them in force; does no input or output.
 *
 * Versions come from the head row, read by this daemon or by one that passes it on; nothing else is ever applied. What
 * is in force only rises.
 */
class Follower
{
public:
    /**
     * @brief Builds a follower with nothing in force.
     * @param outlet Carries out what it decides; must outlive it.
     * @param random Source of jitter and of choices; must outlive it.
     * @param options How often it asks.
     */
    Follower(Outlet &outlet, RandomSource &random, FollowerOptions options);

    /**
     * @brief Lets it do what is due.
     * @param now Current time.
     */
    void tick(SteadyTime now);

    /**
     * @brief Takes what a peer has in force.
     * @param sender The peer.
     * @param advert Its words.
     * @param now Current time.
     */
    void handleAdvert(const DaemonId &sender, const Advert &advert, SteadyTime now);

    /**
     * @brief Takes an accepted manifest from where operators submit it.
     * @param version Its version; one that is not above the one in force is passed over.
     * @param manifest The whole document.
     * @param now Current time.
     */
    void handleAccepted(std::uint64_t version, const QByteArray &manifest, SteadyTime now);

    /**
     * @brief Answers a peer that asks for a manifest.
     * @param sender The peer.
     * @param request Its words.
     */
    void handleBodyRequest(const DaemonId &sender, const BodyRequest &request);

    /**
     * @brief Takes a manifest from a peer.
     * @param sender The peer.
     * @param reply The manifest.
     * @param now Current time.
     */
    void handleBodyReply(const DaemonId &sender, const BodyReply &reply, SteadyTime now);

    /**
     * @brief Takes an answer of the platform.
     * @param id Id of the request.
     * @param outcome The outcome.
     * @param now Current time.
     * @return False if the request is not one of this follower's.
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
     * @brief Gives the newest version that is known to be accepted.
     * @return Above version() while its manifest is being fetched.
     */
    [[nodiscard]] std::uint64_t newestKnown() const noexcept
    {
        return m_target.version;
    }

    /**
     * @brief Gives what others said they have in force.
     * @return By daemon.
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
    void advertise(std::size_t count);
    void removeGonePeers(const std::vector<Peer> &peers);
    [[nodiscard]] Advert advert() const;
    [[nodiscard]] bool isBehind() const noexcept;

    Outlet &m_outlet;
    RandomSource &m_random;
    FollowerOptions m_options;
    VersionAndHash m_inForce;
    QByteArray m_manifest;
    VersionAndHash m_target;
    /*! @brief Peers that said they have the target in force. */
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
    std::map<DaemonId, ReceivedVersion> m_fleet;
};

} // namespace egretlatch::configuration

#endif
