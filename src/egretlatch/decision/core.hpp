#ifndef EGRETLATCH_DECISION_CORE_HPP
#define EGRETLATCH_DECISION_CORE_HPP

#include <memory>
#include <optional>

#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/entry_handler.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/decision/serving_handler.hpp>
#include <egretlatch/decision/surroundings.hpp>

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

    [[nodiscard]] admission::LoadReport load() const;

private:
    friend class CoreBuilder;
    Core() = default;

    void dispatch(const Event &event, SteadyTime now);
    void handleMessage(const protocol::Envelope &envelope, SteadyTime now);
    void handleAnnounced(const ServerAnnounced &announced, SteadyTime now);
    void handleDraining(SteadyTime now);
    void handleLeft(SteadyTime now);
    void handleManifest(const ManifestChanged &changed);
    void declareService();
    void handleTick(SteadyTime now);
    void handleGossip(const protocol::Gossip &gossip, SteadyTime now);
    void updateSelf(membership::MemberState state, const std::string &service, int slots, int connections, SteadyTime now);
    void spreadSelf(SteadyTime now);
    [[nodiscard]] Actions deliverToSelf(SteadyTime now);

    std::unique_ptr<Surroundings> m_surroundings;
    std::unique_ptr<ServingHandler> m_serving;
    std::unique_ptr<EntryHandler> m_entry;
    std::vector<membership::Member> m_contacts;
    SteadyTime m_lastSpread;
    bool m_isDraining{};
    bool m_hasReportedDrained{};
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
    CoreBuilder &addContact(membership::Member contact);

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
     * @brief Builds the core.
     * @return The core; the builder is used up.
     */
    [[nodiscard]] std::unique_ptr<Core> build();

private:
    const Clock &m_clock;
    RandomSource &m_random;
    account::MetricsSink &m_metrics;
    membership::Member m_self;
    std::vector<membership::Member> m_contacts;
    std::unique_ptr<routing::Router> m_router;
    std::unique_ptr<admission::EntryControl> m_entryControl;
    std::unique_ptr<admission::Gate> m_gate;
};

} // namespace egretlatch::decision

#endif
