#include <egretlatch/decision/core.hpp>

#include <algorithm>

#include <egretlatch/admission/open_entry.hpp>
#include <egretlatch/admission/static_gate.hpp>
#include <egretlatch/routing/least_loaded_router.hpp>

namespace egretlatch::decision
{

namespace internal
{

constexpr std::chrono::milliseconds tickInterval{10};
constexpr std::chrono::milliseconds spreadInterval{500};
constexpr std::size_t defaultQueueCapacity = 1000;

template<typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace internal

Actions Core::handle(const Event &event)
{
    const SteadyTime now = m_surroundings->clock.steadyNow();
    m_surroundings->actions.clear();
    dispatch(event, now);
    return deliverToSelf(now);
}

SteadyTime Core::nextTick() const
{
    const SteadyTime latest = m_surroundings->clock.steadyNow() + internal::tickInterval;
    return std::min(latest, m_entry->nextDeadline().value_or(latest));
}

admission::LoadReport Core::load() const
{
    return m_serving->load(m_surroundings->clock.steadyNow());
}

void Core::dispatch(const Event &event, const SteadyTime now)
{
    std::visit(internal::Overloaded{
                   [&](const CallArrived &arrived) {
                       m_entry->handleArrived(arrived, now);
                   },
                   [&](const CallerGone &gone) {
                       m_entry->handleCallerGone(gone.exchange, now);
                   },
                   [&](const PeerMessage &message) {
                       handleMessage(message.envelope, now);
                   },
                   [&](const SendFailed &failed) {
                       m_entry->handleSendFailed(failed, now);
                   },
                   [&](const RunEnded &ended) {
                       m_serving->handleRunEnded(ended, now);
                   },
                   [&](const ServerAnnounced &announced) {
                       handleAnnounced(announced, now);
                   },
                   [&](const ServerDraining &) {
                       handleDraining(now);
                   },
                   [&](const ServerLeft &) {
                       handleLeft(now);
                   },
                   [&](const ManifestChanged &changed) {
                       handleManifest(changed);
                   },
                   [&](const PlatformAnswered &) {
                       m_surroundings->metrics.count("messages_dropped", "late-platform-answer");
                   },
                   [&](const Tick &) {
                       handleTick(now);
                   },
               },
               event);
}

void Core::handleMessage(const protocol::Envelope &envelope, const SteadyTime now)
{
    std::visit(internal::Overloaded{
                   [&](const protocol::CallRequest &request) {
                       m_serving->handleRequest(envelope.sender, envelope.incarnation, request, now);
                   },
                   [&](const protocol::CallAnswer &answer) {
                       m_entry->handleAnswer(envelope.sender, answer, now);
                   },
                   [&](const protocol::CallCancel &cancel) {
                       m_serving->handleCancel(envelope.sender, envelope.incarnation, cancel.call, now);
                   },
                   [&](const protocol::Gossip &gossip) {
                       handleGossip(gossip, now);
                   },
               },
               envelope.message);
}

void Core::handleAnnounced(const ServerAnnounced &announced, const SteadyTime now)
{
    m_isDraining = false;
    m_hasReportedDrained = false;
    m_serving->setServer(announced.slots);
    updateSelf(membership::MemberState::serving, announced.service, announced.slots, announced.connections, now);
    declareService();
}

void Core::handleDraining(const SteadyTime now)
{
    m_isDraining = true;
    m_serving->drain();
    const membership::Member &self = m_surroundings->roster.self();
    updateSelf(membership::MemberState::draining, self.service, self.slots, self.connections, now);
}

void Core::handleLeft(const SteadyTime now)
{
    m_serving->setServer(0);
    updateSelf(membership::MemberState::idle, {}, 0, 0, now);
}

void Core::handleManifest(const ManifestChanged &changed)
{
    // A configuration that arrives late, or again, must not undo a newer one, so only a higher version is taken.
    if (changed.version <= m_surroundings->manifestVersion) {
        return;
    }
    m_surroundings->manifestVersion = changed.version;
    m_surroundings->manifest = changed.manifest;
    m_surroundings->entryControl->setManifest(changed.manifest);
    declareService();
    m_surroundings->actions.emplace_back(ManifestInForce{.version = changed.version, .hash = changed.manifest->hash()});
}

void Core::declareService()
{
    const manifest::Manifest *const manifest = m_surroundings->manifest.get();
    const manifest::ServiceSpec *const service = manifest == nullptr ? nullptr : manifest->findService(m_surroundings->roster.self().service);
    if (service != nullptr) {
        m_serving->setService(*service);
    }
}

void Core::handleTick(const SteadyTime now)
{
    m_entry->tick(now);
    m_serving->tick(now);
    if (m_surroundings->roster.tick(now)) {
        m_surroundings->router->setMembers(m_surroundings->roster.members(), now);
    }
    if (now - m_lastSpread >= internal::spreadInterval) {
        spreadSelf(now);
    }
    if (m_isDraining && !m_hasReportedDrained && m_serving->isIdle() && m_entry->isIdle()) {
        m_hasReportedDrained = true;
        m_surroundings->actions.emplace_back(Drained{});
    }
}

void Core::handleGossip(const protocol::Gossip &gossip, const SteadyTime now)
{
    bool hasChanged = false;
    for (const membership::Member &member : gossip.members) {
        hasChanged = m_surroundings->roster.merge(member, now) || hasChanged;
    }
    if (hasChanged) {
        m_surroundings->router->setMembers(m_surroundings->roster.members(), now);
    }
}

void Core::updateSelf(const membership::MemberState state, const std::string &service, const int slots, const int connections, const SteadyTime now)
{
    m_surroundings->roster.updateSelf(state, service, slots, connections);
    m_surroundings->router->setMembers(m_surroundings->roster.members(), now);
    spreadSelf(now);
}

void Core::spreadSelf(const SteadyTime now)
{
    m_lastSpread = now;
    for (const membership::Member &contact : m_contacts) {
        protocol::Gossip gossip{.members = {m_surroundings->roster.self()}};
        m_surroundings->actions.emplace_back(SendToPeer{.to = contact.id, .endpoint = contact.endpoint, .message = std::move(gossip)});
    }
}

Actions Core::deliverToSelf(const SteadyTime now)
{
    Actions outward;
    while (!m_surroundings->actions.empty()) {
        Actions batch;
        batch.swap(m_surroundings->actions);
        for (Action &action : batch) {
            auto *const send = std::get_if<SendToPeer>(&action);
            if (send == nullptr || send->to != m_surroundings->self) {
                outward.push_back(std::move(action));
                continue;
            }
            handleMessage({.sender = m_surroundings->self, .incarnation = m_surroundings->incarnation, .message = std::move(send->message)}, now);
        }
    }
    return outward;
}

CoreBuilder::CoreBuilder(const Clock &clock, RandomSource &random, account::MetricsSink &metrics)
    : m_clock{clock}
    , m_random{random}
    , m_metrics{metrics}
{
}

CoreBuilder &CoreBuilder::setSelf(membership::Member self)
{
    m_self = std::move(self);
    return *this;
}

CoreBuilder &CoreBuilder::addContact(membership::Member contact)
{
    m_contacts.push_back(std::move(contact));
    return *this;
}

CoreBuilder &CoreBuilder::setRouter(std::unique_ptr<routing::Router> router)
{
    m_router = std::move(router);
    return *this;
}

CoreBuilder &CoreBuilder::setEntryControl(std::unique_ptr<admission::EntryControl> entryControl)
{
    m_entryControl = std::move(entryControl);
    return *this;
}

CoreBuilder &CoreBuilder::setGate(std::unique_ptr<admission::Gate> gate)
{
    m_gate = std::move(gate);
    return *this;
}

std::unique_ptr<Core> CoreBuilder::build()
{
    if (m_router == nullptr) {
        m_router = std::make_unique<routing::LeastLoadedRouter>(m_random);
    }
    if (m_entryControl == nullptr) {
        m_entryControl = std::make_unique<admission::OpenEntry>();
    }
    if (m_gate == nullptr) {
        m_gate = std::make_unique<admission::StaticGate>(1, internal::defaultQueueCapacity);
    }
    std::unique_ptr<Core> core{new Core};
    core->m_surroundings.reset(new Surroundings{
        .clock = m_clock,
        .random = m_random,
        .metrics = m_metrics,
        .mint = UuidMint{m_random},
        .self = m_self.id,
        .incarnation = m_self.incarnation,
        .roster = membership::Roster{m_self},
        .router = std::move(m_router),
        .entryControl = std::move(m_entryControl),
        .manifest = nullptr,
        .manifestVersion = 0,
        .actions = {},
    });
    core->m_serving = std::make_unique<ServingHandler>(*core->m_surroundings, std::move(m_gate));
    core->m_entry = std::make_unique<EntryHandler>(*core->m_surroundings, *core->m_serving);
    core->m_contacts = std::move(m_contacts);
    core->m_lastSpread = m_clock.steadyNow();
    return core;
}

} // namespace egretlatch::decision
