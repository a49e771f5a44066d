#ifndef EGRETLATCH_DECISION_CORE_CONTEXT_HPP
#define EGRETLATCH_DECISION_CORE_CONTEXT_HPP

#include <memory>

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/admission/crash_suspects.hpp>
#include <egretlatch/admission/entry_control.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/core/uuid.hpp>
#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/delivery.hpp>
#include <egretlatch/manifest/manifest.hpp>
#include <egretlatch/membership/roster.hpp>
#include <egretlatch/retry/key_ledger.hpp>
#include <egretlatch/routing/router.hpp>

namespace egretlatch::decision
{

/*! @brief Rule by which requests that crash backend servers are refused. */
inline constexpr const char *quarantineRule = "requests like this one have crashed three backend servers";
/*! @brief Delay after which such a request may be sent again: they are admitted once the crashes have expired. */
inline constexpr std::chrono::minutes retryAfterQuarantine{1};
/*! @brief Delay for a request refused because an equal one is on trial: the result of one run is known fleet-wide by then. */
inline constexpr std::chrono::seconds retryAfterTrial{1};

/*! @brief State shared by the entry and serving handlers; owned by the core. */
struct CoreContext
{
    const Clock &clock;
    RandomSource &random;
    account::MetricsSink &metrics;
    UuidGenerator uuidGenerator;
    DaemonId self;
    Incarnation incarnation;
    membership::Roster roster;
    std::unique_ptr<routing::Router> router;
    std::unique_ptr<admission::EntryControl> entryControl;
    admission::CrashSuspects suspects;
    std::shared_ptr<const manifest::Manifest> manifest;
    std::uint64_t manifestVersion{};
    retry::UnownedKeys unownedKeys{};
    Delivery delivery{};
    /*! @brief Start of this incarnation; key ages are measured from here. */
    SteadyTime startedAt;
    /*! @brief Actions produced by the current event so far. */
    Actions actions;
    store::RequestId lastPlatformRequest;

    /**
     * @brief Creates a refusal issued by this daemon.
     * @param reason Reason of the refusal.
     * @param rule The rule that refused.
     * @param figures Observed figures that the decision is based on.
     * @param retryAfter Delay after which a retry makes sense.
     * @return The refusal, with an id of its own.
     */
    [[nodiscard]] account::Refusal
    refuse(account::RefusalReason reason, const std::string &rule, std::vector<account::Figure> figures = {}, std::chrono::milliseconds retryAfter = {});

    /**
     * @brief Identifies a request with respect to crashes of backend servers.
     * @param from Daemon at which the request entered the system.
     * @param request The request.
     * @return Its identity.
     */
    [[nodiscard]] admission::RequestIdentity identityOf(const DaemonId &from, const protocol::CallRequest &request) const;

    /**
     * @brief Finds the declaration of a kind in the configuration in force.
     * @param service Service of the kind.
     * @param kind Name of the kind.
     * @return The declaration, or null if there is none; valid as long as the configuration is in force.
     */
    [[nodiscard]] const manifest::KindSpec *findKind(const std::string &service, const std::string &kind) const;

    /**
     * @brief Puts a configuration in force as a whole, unless the same or a newer one already is.
     * @param version Its version; zero for a manifest from the settings, which any accepted one replaces.
     * @param configuration The manifest.
     * @param sourceDaemon Daemon that sent it; empty if it came from the platform or the settings.
     */
    void putInForce(std::uint64_t version, const std::shared_ptr<const manifest::Manifest> &configuration, const DaemonId &sourceDaemon = {});

    /**
     * @brief Sends a request to the platform.
     * @param request The request.
     * @return The id that the answer will carry.
     */
    [[nodiscard]] store::RequestId sendToPlatform(store::Request request);
};

} // namespace egretlatch::decision

#endif
