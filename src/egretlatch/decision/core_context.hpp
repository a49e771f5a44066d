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

/*! @brief What both halves of the decision core share; owned by the core. */
struct CoreContext
{
    const Clock &clock;
    RandomSource &random;
    account::MetricsSink &metrics;
    UuidMint mint;
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
    /*! @brief When this life began; ages of keys are counted from here. */
    SteadyTime born;
    /*! @brief What the event at hand has led to so far. */
    Actions actions;
    store::RequestId lastPlatformRequest;

    /**
     * @brief Mints a refusal in the name of this daemon.
     * @param reason Why.
     * @param rule The rule that refused.
     * @param figures The observed numbers that it rests on.
     * @param retryAfter When to come back.
     * @return The refusal, with an id of its own.
     */
    [[nodiscard]] account::Refusal
    refuse(account::RefusalReason reason, const std::string &rule, std::vector<account::Figure> figures = {}, std::chrono::milliseconds retryAfter = {});

    /**
     * @brief Finds the declaration of a kind in the configuration in force.
     * @param service Service of the kind.
     * @param kind Name of the kind.
     * @return The declaration, or null if there is none; valid as long as the configuration is in force.
     */
    [[nodiscard]] const manifest::KindSpec *findKind(const std::string &service, const std::string &kind) const;

    /**
     * @brief Puts a configuration in force, whole, unless the same or a newer one is.
     * @param version Its version; zero for a manifest of the settings that any accepted one replaces.
     * @param configuration The manifest.
     * @param bringer Daemon that it came from; empty if it came from the platform or the settings.
     */
    void putInForce(std::uint64_t version, const std::shared_ptr<const manifest::Manifest> &configuration, const DaemonId &sourceDaemon = {});

    /**
     * @brief Asks the platform.
     * @param request What is asked.
     * @return The id that the answer will carry.
     */
    [[nodiscard]] store::RequestId askPlatform(store::Request request);
};

} // namespace egretlatch::decision

#endif
