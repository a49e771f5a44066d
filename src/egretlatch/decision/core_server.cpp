#include <egretlatch/decision/core.hpp>

#include <algorithm>

#include <egretlatch/decision/departure_news.hpp>

namespace egretlatch::decision
{

namespace internal
{

constexpr std::chrono::seconds announcementTimeout{5};

} // namespace internal

void Core::handleAnnounced(const ServerAnnounced &announced, const SteadyTime now)
{
    m_lastAnnounced = now;
    m_surroundings->metrics.count("announcements", announced.service);
    // A server goes on announcing itself while it drains, which must not put it back to work; nor must it once it has
    // been silent for a while and wakes. Another process in its place is a server of its own, known by its instance name,
    // or, without a name, by the silence before it.
    const bool isDrained = announced.instance.empty() ? m_isDraining && isServerNameless() : hasLeft(announced.instance);
    if (m_isSignalled || isDrained || m_server == announced) {
        return;
    }
    m_server = announced;
    m_isDraining = false;
    m_doorClosesAt.reset();
    m_lastStartAt.reset();
    m_serving->setServer(announced.slots);
    m_serving->noteServerReplaced(now);
    tellCrashes(now);
    updateSelf(membership::MemberState::serving, announced.service, announced.slots, announced.connections, now);
    declareService();
}

bool Core::isServerNameless() const
{
    return !m_server.has_value() || m_server->instance.empty();
}

void Core::handleDraining(const ServerDraining &draining, const SteadyTime now)
{
    if (draining.isShutdown) {
        m_isShuttingDown = true;
        m_entry->drain();
        // What came by the door later than callers are served would outlast the process.
        if (m_doorClosesAt.has_value()) {
            m_doorClosesAt = now;
            tickDoor(now);
        }
    }
    const bool isOfDaemon = draining.isShutdown || draining.isSignal;
    m_isSignalled = m_isSignalled || isOfDaemon;
    if (!isOfDaemon && !takeDeparture(draining.instance, now)) {
        return;
    }
    if (m_isDraining) {
        // The server's own word, after the signal, may leave it less time.
        if (m_doorClosesAt.has_value() && !isOfDaemon) {
            m_doorClosesAt = std::min(*m_doorClosesAt, now + m_doorTimes.afterReport);
            boundLastStart(now);
        }
        return;
    }
    m_isDraining = true;
    if (!m_server.has_value()) {
        m_lastAnnounced = now;
    }
    m_doorClosesAt = now + (isOfDaemon ? m_doorTimes.afterSignal : m_doorTimes.afterReport);
    if (!isOfDaemon) {
        boundLastStart(now);
    }
    tickDoor(now);
    sayDraining(now);
}

bool Core::takeDeparture(const std::string &instance, const SteadyTime now)
{
    const bool isHere = instance.empty() || (m_server.has_value() && m_server->instance == instance);
    const std::string &name = instance.empty() && m_server.has_value() ? m_server->instance : instance;
    if (!name.empty() && m_departures.note(name)) {
        // At once, and before the server gets its acknowledgement: it binds also a life of this daemon that begins right after.
        m_gossip->spread(departureNews(m_surroundings->self, name), now);
        m_gossip->announceSelf(now);
        applyGossip(now);
    }
    return isHere;
}

void Core::handleDepartureNews(const std::string &instance, const SteadyTime now)
{
    if (!m_departures.note(instance)) {
        return;
    }
    m_surroundings->actions.emplace_back(DepartureReported{.instance = instance});
    if (!m_server.has_value() || m_server->instance != instance) {
        return;
    }
    // An earlier life of this daemon acknowledged it, nobody knows here how long ago.
    m_isDraining = true;
    m_doorClosesAt = now;
    m_lastStartAt = now;
    tickDoor(now);
    sayDraining(now);
}

void Core::sayDraining(const SteadyTime now)
{
    const membership::Member &self = m_surroundings->roster.self();
    updateSelf(membership::MemberState::draining, self.service, self.slots, self.connections, now);
}

void Core::handleLeft(const SteadyTime now)
{
    m_server.reset();
    m_isDraining = m_isSignalled;
    m_serving->setServer(0);
    updateSelf(membership::MemberState::idle, {}, 0, 0, now);
}

void Core::tickServer(const SteadyTime now)
{
    // A backend server that dies says nothing, and its daemon would go on offering its slots: callers would see one
    // refused connection after the other. It is taken for gone once its announcements stop.
    const bool isAwaited = m_server.has_value() || (m_isDraining && !m_isSignalled);
    if (isAwaited && now - m_lastAnnounced >= internal::announcementTimeout) {
        m_surroundings->metrics.count("membership", "server-silent");
        handleLeft(now);
    }
}

void Core::boundLastStart(const SteadyTime now)
{
    if (m_doorTimes.lastStart > Duration{} && !m_lastStartAt.has_value()) {
        m_lastStartAt = now + m_doorTimes.lastStart;
    }
}

void Core::tickDoor(const SteadyTime now)
{
    if (m_doorClosesAt.has_value() && now >= *m_doorClosesAt) {
        m_doorClosesAt.reset();
        m_serving->drain();
    }
    if (m_lastStartAt.has_value() && now >= *m_lastStartAt) {
        m_lastStartAt.reset();
        m_serving->refuseWaiting(now);
    }
}

} // namespace egretlatch::decision
