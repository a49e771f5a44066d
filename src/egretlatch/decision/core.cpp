#include <egretlatch/decision/core.hpp>

#include <algorithm>

#include <egretlatch/decision/departure_rumour.hpp>

namespace egretlatch::decision
{

namespace internal
{

// Tick interval while requests wait in the queue. With an empty queue only the deadlines of runs are left, which the daemons
// waiting for those runs enforce to the millisecond themselves.
constexpr std::chrono::milliseconds queueTickInterval{10};
constexpr std::chrono::milliseconds runTickInterval{50};
constexpr std::chrono::milliseconds idleTickInterval{100};
constexpr std::chrono::milliseconds fleetTickInterval{30};
constexpr std::chrono::milliseconds departureSpreadTime{500};
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
    const SteadyTime now = m_context->clock.steadyNow();
    m_context->actions.clear();
    // After a stall, queued events are handled before the timer fires; check drain deadlines first.
    tickDrain(now);
    dispatch(event, now);
    if (m_declared != m_context->manifest) {
        declareService();
    }
    return deliverToSelf(now);
}

SteadyTime Core::nextTick() const
{
    const Duration busyInterval = m_serving->hasWaiting() ? internal::queueTickInterval : internal::runTickInterval;
    const SteadyTime latest = m_context->clock.steadyNow() + (isIdle() ? internal::idleTickInterval : busyInterval);
    return std::min(latest, m_entry->nextDeadline().value_or(latest));
}

admission::LoadReport Core::load() const
{
    return m_serving->load(m_context->clock.steadyNow());
}

membership::PeerSilence Core::peerSilence() const
{
    return m_gossip->peerSilence(m_context->clock.steadyNow());
}

std::vector<account::Figure> Core::levelFigures() const
{
    return m_serving->levelFigures(m_context->clock.steadyNow());
}

std::map<std::string, double> Core::retriesLeft() const
{
    return m_entry->retriesLeft();
}

configuration::ReadReason Core::reasonToReadConfiguration()
{
    const configuration::ReadReason reason = m_configuration->reasonToRead(m_context->clock.steadyNow(), m_context->clock.bootNow());
    const bool isContactNeeded = reason == configuration::ReadReason::none && m_accounts->needsStoreContact();
    return isContactNeeded ? configuration::ReadReason::contact : reason;
}

configuration::ReadTurn Core::configurationReadTurn()
{
    return m_configurationDelegate->readTurn();
}

std::optional<Duration> Core::configurationProofAge() const
{
    return m_configuration->proofAge(m_context->clock.bootNow());
}

std::optional<Duration> Core::configurationConfirmedAge() const
{
    return m_configuration->confirmationAge(m_context->clock.steadyNow());
}

configuration::Report Core::configurationReport() const
{
    const SteadyTime now = m_context->clock.steadyNow();
    configuration::Report report;
    report.daemon = m_context->self;
    report.version = m_context->manifestVersion;
    report.hash = m_context->manifest == nullptr ? std::string{} : m_context->manifest->hash();
    report.newestKnown = std::max(report.version, m_configuration->newestKnown());
    for (const auto &[daemon, entry] : m_configuration->fleet()) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.receivedAt);
        report.reported.push_back({.daemon = daemon, .version = entry.version, .age = age});
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
                       m_gossip->noteMessage(now);
                       handleMessage(message.envelope, now);
                   },
                   [&](const SendFailed &failed) {
                       m_entry->handleSendFailed(failed, now);
                   },
                   [&](const PeerLost &lost) {
                       handlePeerLost(lost, now);
                   },
                   [&](const RunEnded &ended) {
                       handleNotice(ended, now);
                       m_serving->handleRunEnded(ended, now);
                       spreadCrashReports(now);
                   },
                   [&](const ServerUnreachable &) {
                       m_serving->noteServerUnreachable(now);
                       spreadCrashReports(now);
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
                   [&](const ConfigurationConfirmed &confirmed) {
                       m_configuration->noteConfirmed(confirmed.at);
                   },
                   [&](const StoreClockRead &read) {
                       m_configuration->noteStoreClock(read.reading);
                       m_accounts->noteStoreContact();
                   },
                   [&](const ConfigurationProven &proven) {
                       m_configuration->noteProven(proven.at, now);
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
                   [&](const quota::UseReport &report) {
                       m_accounts->quotas().handleReport(envelope.sender, report, now);
                   },
                   [&](const quota::GrantReply &reply) {
                       m_accounts->quotas().handleReply(reply, now);
                   },
               },
               envelope.message);
}

void Core::handlePeerLost(const PeerLost &lost, const SteadyTime now)
{
    m_gossip->noteUnreachable(lost.daemon);
    m_accounts->quotas().handlePeerLost(lost, now);
    m_entry->handlePeerLost(lost, now);
}

void Core::handleRumour(const membership::Rumour &rumour, const SteadyTime now)
{
    m_context->metrics.count("rumours", membership::toString(rumour.key.kind));
    if (rumour.key.kind == membership::RumourKind::quarantine) {
        applyCrashReport({.rumour = rumour}, now);
    }
    if (const std::optional<std::string> instance = departedInstance(rumour, m_context->self)) {
        handleEarlierDeparture(*instance, now);
    }
}

void Core::handleManifest(const ManifestChanged &changed)
{
    m_context->putInForce(changed.version, changed.manifest);
}

void Core::handlePlatform(const PlatformAnswered &answered, const SteadyTime now)
{
    if (m_contactRequest == answered.id) {
        m_contactRequest.reset();
        m_gossip->addContacts(m_contactBook->handleOutcome(answered.outcome, now));
        // Daemons named in the rows are few in any fleet, and the ones that others turn to.
        if (m_contactBook->isListed()) {
            m_configuration->hastenFirstRead();
        }
        // Not left to the next tick: until this daemon's row is written, others that start find none and write theirs.
        tickContacts(now);
        return;
    }
    if (m_departureRequest == answered.id) {
        m_departureRequest.reset();
        handleDepartureReply(answered.outcome, now);
        return;
    }
    if (m_suspectRequest == answered.id) {
        m_suspectRequest.reset();
        handleSuspectReply(answered.outcome, now);
        return;
    }
    if (!m_configuration->handleOutcome(answered.id, answered.outcome, now) && !m_entry->handlePlatform(answered, now)) {
        m_context->metrics.count("messages_dropped", "late-platform-answer");
    }
}

void Core::declareService()
{
    m_declared = m_context->manifest;
    const manifest::Manifest *const manifest = m_context->manifest.get();
    const manifest::ServiceSpec *const service = manifest == nullptr ? nullptr : manifest->findService(m_context->roster.self().service);
    if (service != nullptr) {
        m_serving->setService(*service);
    }
}

void Core::handleTick(const SteadyTime now)
{
    m_entry->tick(now);
    m_serving->tick(now);
    // The queue and call deadlines need frequent checks; the fleet state changes only every few tens of milliseconds.
    if (now - m_lastFleetTick >= internal::fleetTickInterval) {
        m_lastFleetTick = now;
        tickFleet(now);
    }
}

void Core::tickFleet(const SteadyTime now)
{
    m_configuration->tick(now);
    m_accounts->quotas().tick(now);
    tickServer(now);
    tickSuspects(now);
    m_gossip->setPerformance(m_serving->performance(now));
    m_gossip->tick(now);
    tickContacts(now);
    tickDepartures(now);
    tickShutdown(now);
    applyGossip(now);
}

void Core::tickContacts(const SteadyTime now)
{
    if (m_contactBook == nullptr || m_contactRequest.has_value()) {
        return;
    }
    if (std::optional<store::Request> request = m_contactBook->tick(m_context->roster.participants().size(), now)) {
        m_contactRequest = m_context->sendToPlatform(std::move(*request));
    }
}

void Core::tickShutdown(const SteadyTime now)
{
    if (!m_isShuttingDown || m_hasReportedDrained || !m_serving->isIdle() || !m_entry->isIdle()) {
        m_goneAnnouncedAt.reset();
        return;
    }
    if (!m_goneAnnouncedAt.has_value()) {
        m_goneAnnouncedAt = now;
        updateSelf(membership::MemberState::gone, {}, 0, 0, now);
    }
    // The process exits as soon as it reports that it is drained, and unsent messages are lost. Other daemons would then
    // take the departure for a crash, so the announcement gets time to be sent.
    if (now - *m_goneAnnouncedAt >= internal::departureSpreadTime) {
        m_hasReportedDrained = true;
        m_context->actions.emplace_back(Drained{});
    }
}

void Core::updateSelf(const membership::MemberState state, const std::string &service, const int slots, const int connections, const SteadyTime now)
{
    m_context->roster.updateSelf(state, service, slots, connections);
    m_context->router->setMembers(m_context->roster.members(), now);
    m_gossip->announceSelf(now);
    applyGossip(now);
}

void Core::applyGossip(const SteadyTime now)
{
    adoptRaisedIncarnation();
    membership::GossipEffects effects = m_gossip->takeEffects();
    if (effects.haveMembersChanged) {
        m_context->router->setMembers(m_context->roster.members(), now);
    }
    for (const DaemonId &id : m_context->roster.takeChanged()) {
        if (const membership::Member *const member = m_context->roster.find(id)) {
            m_context->actions.emplace_back(MemberChanged{.id = id, .state = member->state});
        }
    }
    if (effects.isolation.has_value()) {
        const std::size_t present = m_context->roster.participants().size();
        m_context->actions.emplace_back(IsolationChanged{.change = *effects.isolation, .expected = m_gossip->countExpected(), .present = present});
    }
    for (membership::OutgoingGossip &outgoing : effects.messages) {
        m_context->actions.emplace_back(SendToPeer{.to = outgoing.to.id, .endpoint = outgoing.to.endpoint, .message = std::move(outgoing.message)});
    }
    for (const auto &[daemon, performance] : effects.performance) {
        m_context->router->notePerformance(daemon, performance, now);
    }
    for (const membership::Rumour &rumour : effects.rumours) {
        handleRumour(rumour, now);
    }
    if (effects.isKnownFromBefore) {
        handlePeerKnowledge(now);
    }
}

void Core::adoptRaisedIncarnation()
{
    const Incarnation raised = m_context->roster.self().incarnation;
    if (raised == m_context->incarnation) {
        return;
    }
    m_context->actions.emplace_back(IncarnationRaised{.from = m_context->incarnation, .to = raised});
    m_context->incarnation = raised;
}

bool Core::isIdle() const noexcept
{
    return m_serving->isIdle() && m_entry->isIdle();
}

Actions Core::deliverToSelf(const SteadyTime now)
{
    Actions outward;
    while (!m_context->actions.empty()) {
        Actions batch;
        batch.swap(m_context->actions);
        for (Action &action : batch) {
            if (const auto *const abort = std::get_if<AbortRun>(&action)) {
                m_entry->cancelInnerCalls(abort->execution, now);
            }
            auto *const send = std::get_if<SendToPeer>(&action);
            if (send == nullptr || send->to != m_context->self) {
                outward.push_back(std::move(action));
                continue;
            }
            handleMessage({.sender = m_context->self, .incarnation = m_context->incarnation, .message = std::move(send->message)}, now);
        }
    }
    return outward;
}

} // namespace egretlatch::decision
