#include <egretlatch/decision/core.hpp>

#include <algorithm>

#include <egretlatch/decision/departure_news.hpp>

namespace egretlatch::decision
{

namespace internal
{

// Queues are looked through so often. With nothing waiting only deadlines of runs are left, which the daemons that wait for
// them keep to the millisecond themselves.
constexpr std::chrono::milliseconds queueTickInterval{10};
constexpr std::chrono::milliseconds runTickInterval{50};
constexpr std::chrono::milliseconds idleTickInterval{100};
constexpr std::chrono::milliseconds fleetTickInterval{30};
constexpr std::chrono::milliseconds leaveSpreadTime{500};
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
    // A process that stood still reads what came meanwhile before its timers.
    tickDoor(now);
    dispatch(event, now);
    if (m_declared != m_surroundings->manifest) {
        declareService();
    }
    return deliverToSelf(now);
}

SteadyTime Core::nextTick() const
{
    const Duration busyInterval = m_serving->hasWaiting() ? internal::queueTickInterval : internal::runTickInterval;
    const SteadyTime latest = m_surroundings->clock.steadyNow() + (isIdle() ? internal::idleTickInterval : busyInterval);
    return std::min(latest, m_entry->nextDeadline().value_or(latest));
}

admission::LoadReport Core::load() const
{
    return m_serving->load(m_surroundings->clock.steadyNow());
}

std::vector<account::Figure> Core::levelFigures() const
{
    return m_serving->levelFigures(m_surroundings->clock.steadyNow());
}

std::map<std::string, double> Core::retriesLeft() const
{
    return m_entry->retriesLeft();
}

configuration::Report Core::configurationReport() const
{
    const SteadyTime now = m_surroundings->clock.steadyNow();
    configuration::Report report;
    report.daemon = m_surroundings->self;
    report.version = m_surroundings->manifestVersion;
    report.hash = m_surroundings->manifest == nullptr ? std::string{} : m_surroundings->manifest->hash();
    report.newestKnown = std::max(report.version, m_configuration->newestKnown());
    for (const auto &[daemon, entry] : m_configuration->fleet()) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.heard);
        report.heard.push_back({.daemon = daemon, .version = entry.version, .age = age});
    }
    return report;
}

void Core::dispatch(const Event &event, const SteadyTime now)
{
    std::visit(internal::Overloaded{
                   [&](const CallArrived &arrived) {
                       m_entry->handleArrived(arrived, now);
                   },
                   [&](const KeyRequested &requested) {
                       m_entry->handleKeyRequested(requested, m_isShuttingDown, now);
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
                   [&](const PeerLost &lost) {
                       handlePeerLost(lost, now);
                   },
                   [&](const RunEnded &ended) {
                       m_serving->handleRunEnded(ended, now);
                       tellCrashes(now);
                   },
                   [&](const ServerAnnounced &announced) {
                       handleAnnounced(announced, now);
                   },
                   [&](const ServerDraining &draining) {
                       handleDraining(draining, now);
                   },
                   [&](const ServerLeft &) {
                       handleLeft(now);
                   },
                   [&](const ManifestChanged &changed) {
                       handleManifest(changed);
                   },
                   [&](const ManifestAccepted &accepted) {
                       m_configuration->handleAccepted(accepted.version, accepted.document, now);
                   },
                   [&](const PlatformAnswered &answered) {
                       handlePlatform(answered, now);
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
                       if (request.forOwner) {
                           m_entry->handleForwarded(envelope.sender, envelope.incarnation, request, now);
                           return;
                       }
                       m_serving->handleRequest(envelope.sender, envelope.incarnation, request, now);
                   },
                   [&](const protocol::CallAnswer &answer) {
                       m_entry->handleAnswer(envelope.sender, answer, now);
                   },
                   [&](const protocol::CallCancel &cancel) {
                       m_serving->handleCancel(envelope.sender, envelope.incarnation, cancel.call, now);
                   },
                   [&](const protocol::Gossip &gossip) {
                       m_gossip->handle(envelope.sender, envelope.incarnation, gossip, now);
                       applyGossip(now);
                   },
                   [&](const configuration::Advert &advert) {
                       m_configuration->handleAdvert(envelope.sender, advert, now);
                   },
                   [&](const configuration::BodyRequest &request) {
                       m_configuration->handleBodyRequest(envelope.sender, request);
                   },
                   [&](const configuration::BodyReply &reply) {
                       m_configuration->handleBodyReply(envelope.sender, reply, now);
                   },
               },
               envelope.message);
}

void Core::handlePeerLost(const PeerLost &lost, const SteadyTime now)
{
    m_gossip->noteUnreachable(lost.daemon);
    m_entry->handlePeerLost(lost, now);
}

void Core::handleRumour(const membership::Rumour &rumour, const SteadyTime now)
{
    m_surroundings->metrics.count("rumours", membership::toString(rumour.key.kind));
    if (rumour.key.kind == membership::RumourKind::quarantine) {
        CrashReport{.rumour = rumour}.apply(m_surroundings->suspects, now);
    }
    if (const std::optional<std::string> instance = departedBeside(rumour, m_surroundings->self)) {
        handleDepartureNews(*instance, now);
    }
}

void Core::tellCrashes(const SteadyTime now)
{
    for (const CrashReport &news : m_serving->takeCrashNews()) {
        news.apply(m_surroundings->suspects, now);
        m_gossip->spread(news.rumour, now);
    }
}

void Core::handleManifest(const ManifestChanged &changed)
{
    m_surroundings->putInForce(changed.version, changed.manifest);
}

void Core::handlePlatform(const PlatformAnswered &answered, const SteadyTime now)
{
    if (m_contactRequest == answered.id) {
        m_contactRequest.reset();
        m_gossip->addContacts(m_contactBook->handleOutcome(answered.outcome));
        return;
    }
    if (!m_configuration->handleOutcome(answered.id, answered.outcome, now) && !m_entry->handlePlatform(answered, now)) {
        m_surroundings->metrics.count("messages_dropped", "late-platform-answer");
    }
}

void Core::declareService()
{
    m_declared = m_surroundings->manifest;
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
    // A queue and the deadlines of calls are looked at many times a second; the fleet changes in steps of tens of milliseconds.
    if (now - m_lastFleetTick >= internal::fleetTickInterval) {
        m_lastFleetTick = now;
        tickFleet(now);
    }
}

void Core::tickFleet(const SteadyTime now)
{
    m_configuration->tick(now);
    tickServer(now);
    m_gossip->setPaces(m_serving->paces(now));
    m_gossip->tick(now);
    tickContacts(now);
    tickLeaving(now);
    applyGossip(now);
}

void Core::tickContacts(const SteadyTime now)
{
    if (m_contactBook == nullptr || m_contactRequest.has_value()) {
        return;
    }
    if (std::optional<store::Request> request = m_contactBook->tick(m_surroundings->roster.participants().size(), now)) {
        m_contactRequest = m_surroundings->askPlatform(std::move(*request));
    }
}

void Core::tickLeaving(const SteadyTime now)
{
    if (!m_isShuttingDown || m_hasReportedDrained || !m_serving->isIdle() || !m_entry->isIdle()) {
        m_leftAt.reset();
        return;
    }
    if (!m_leftAt.has_value()) {
        m_leftAt = now;
        updateSelf(membership::MemberState::gone, {}, 0, 0, now);
    }
    // The process ends at once when it is told to, and what has not left it by then is lost with it. Others would then
    // take a daemon that left for one that died, so its word gets time to leave.
    if (now - *m_leftAt >= internal::leaveSpreadTime) {
        m_hasReportedDrained = true;
        m_surroundings->actions.emplace_back(Drained{});
    }
}

void Core::updateSelf(const membership::MemberState state, const std::string &service, const int slots, const int connections, const SteadyTime now)
{
    m_surroundings->roster.updateSelf(state, service, slots, connections);
    m_surroundings->router->setMembers(m_surroundings->roster.members(), now);
    m_gossip->announceSelf(now);
    applyGossip(now);
}

void Core::applyGossip(const SteadyTime now)
{
    followRaise();
    membership::GossipEffects effects = m_gossip->takeEffects();
    if (effects.haveMembersChanged) {
        m_surroundings->router->setMembers(m_surroundings->roster.members(), now);
    }
    for (const DaemonId &id : m_surroundings->roster.takeChanged()) {
        if (const membership::Member *const member = m_surroundings->roster.find(id)) {
            m_surroundings->actions.emplace_back(MemberChanged{.id = id, .state = member->state});
        }
    }
    for (membership::OutgoingGossip &outgoing : effects.messages) {
        m_surroundings->actions.emplace_back(SendToPeer{.to = outgoing.to.id, .endpoint = outgoing.to.endpoint, .message = std::move(outgoing.message)});
    }
    for (const auto &[daemon, paces] : effects.paces) {
        m_surroundings->router->notePaces(daemon, paces, now);
    }
    for (const membership::Rumour &rumour : effects.rumours) {
        handleRumour(rumour, now);
    }
}

void Core::followRaise()
{
    const Incarnation raised = m_surroundings->roster.self().incarnation;
    if (raised == m_surroundings->incarnation) {
        return;
    }
    m_surroundings->actions.emplace_back(IncarnationRaised{.from = m_surroundings->incarnation, .to = raised});
    m_surroundings->incarnation = raised;
}

bool Core::isIdle() const noexcept
{
    return m_serving->isIdle() && m_entry->isIdle();
}

Actions Core::deliverToSelf(const SteadyTime now)
{
    Actions outward;
    while (!m_surroundings->actions.empty()) {
        Actions batch;
        batch.swap(m_surroundings->actions);
        for (Action &action : batch) {
            if (const auto *const abort = std::get_if<AbortRun>(&action)) {
                m_entry->cancelInnerCalls(abort->execution, now);
            }
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

} // namespace egretlatch::decision
