// The part of Core that keeps and learns the departures of the local backend server.

#include <egretlatch/decision/core.hpp>

#include <egretlatch/decision/departure_rumour.hpp>

namespace egretlatch::decision
{

bool Core::recordDeparture(const std::string &instance, const SteadyTime now)
{
    const bool isCurrentServer = instance.empty() || (m_server.has_value() && m_server->instance == instance);
    const std::string &name = instance.empty() && m_server.has_value() ? m_server->instance : instance;
    if (name.empty()) {
        return isCurrentServer;
    }
    if (m_departures.note(name)) {
        // Sent immediately, before the server gets its acknowledgement, so that it also binds an incarnation of this daemon that
        // starts while the store is away.
        m_gossip->spread(makeDepartureRumour(m_context->self, name), now);
        m_gossip->announceSelf(now);
        applyGossip(now);
    }
    if (m_departureRecord != nullptr) {
        m_departureRecord->add(name);
        tickDepartures(now);
    }
    return isCurrentServer;
}

void Core::handleEarlierDeparture(const std::string &instance, const SteadyTime now)
{
    if (!m_departures.note(instance)) {
        return;
    }
    m_context->actions.emplace_back(DepartureReported{.instance = instance});
    if (!m_server.has_value() || m_server->instance != instance) {
        return;
    }
    // A previous incarnation of this daemon acknowledged the departure at an unknown time, so this one stops accepting
    // requests immediately.
    m_isDraining = true;
    m_stopAcceptingAt = now;
    m_lastStartAt = now;
    tickDrain(now);
    publishDraining(now);
}

void Core::handleDepartureReply(const store::Outcome &outcome, const SteadyTime now)
{
    const bool wasKnown = knowsEarlierDepartures();
    const membership::DepartureRecord::Effects effects = m_departureRecord->handleOutcome(outcome, now, m_context->clock.wallNow());
    for (const std::string &instance : effects.read) {
        // Other daemons confirm the departures that a serving incarnation knew, so they get these again.
        m_gossip->spread(makeDepartureRumour(m_context->self, instance), now);
        handleEarlierDeparture(instance, now);
    }
    if (effects.saved.has_value()) {
        m_context->metrics.count("departures", "saved");
        m_context->actions.emplace_back(DepartureSaved{.instance = *effects.saved});
    }
    if (!wasKnown && knowsEarlierDepartures()) {
        const Duration sinceStart = now - m_context->startedAt;
        m_context->actions.emplace_back(DeparturesKnown{.source = DepartureSource::store, .sinceStart = sinceStart, .count = effects.read.size()});
        releaseAnnouncement(now);
    }
    tickDepartures(now);
}

void Core::handlePeerKnowledge(const SteadyTime now)
{
    if (knowsEarlierDepartures()) {
        return;
    }
    // The rumour of a departure that was acknowledged right before the end of the previous incarnation may still be on its way. It
    // reaches this daemon like all others, well within the time for which a leaving server may get requests.
    const Duration sinceStart = now - m_context->startedAt;
    m_departureRecord->noteLearnedFromPeer();
    m_context->actions.emplace_back(DeparturesKnown{.source = DepartureSource::peers, .sinceStart = sinceStart, .count = 0});
    releaseAnnouncement(now);
}

void Core::tickDepartures(const SteadyTime now)
{
    if (m_departureRecord == nullptr || m_departureRequest.has_value()) {
        return;
    }
    if (std::optional<store::Request> request = m_departureRecord->tick(now, m_context->clock.wallNow())) {
        m_departureRequest = m_context->sendToPlatform(std::move(*request));
    }
}

} // namespace egretlatch::decision
