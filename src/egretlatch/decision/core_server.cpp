#include <egretlatch/decision/core.hpp>

#include <algorithm>
#include <utility>

namespace egretlatch::decision
{

namespace internal
{

constexpr std::chrono::seconds announcementTimeout{5};

} // namespace internal

void Core::handleAnnounced(const ServerAnnounced &announced, const SteadyTime now)
{
    m_lastAnnounced = now;
    m_context->metrics.count("announcements", announced.service);
    if (!knowsEarlierDepartures()) {
        m_heldAnnouncement = announced;
        return;
    }
    acceptAnnouncement(announced, now);
}

void Core::releaseAnnouncement(const SteadyTime now)
{
    const std::optional<ServerAnnounced> held = std::exchange(m_heldAnnouncement, std::nullopt);
    const bool isFresh = now - m_lastAnnounced < internal::announcementTimeout;
    if (held.has_value() && isFresh) {
        acceptAnnouncement(*held, now);
    }
}

void Core::acceptAnnouncement(const ServerAnnounced &announced, const SteadyTime now)
{
    // A draining server keeps announcing itself, which must not return it to service, not even after a pause in its
    // announcements. A replacement process is a new server: it has another instance name or, without names, follows such
    // a pause.
    const bool isDrained = announced.instance.empty() ? m_isDraining && isServerUnnamed() : hasLeft(announced.instance);
    if (m_server == announced) {
        m_serving->noteServerAnnounced(now);
    }
    if (m_isSignalled || isDrained || m_server == announced) {
        return;
    }
    noteReplacement(announced, now);
    m_server = announced;
    m_isDraining = false;
    m_stopAcceptingAt.reset();
    m_lastStartAt.reset();
    m_serving->setServer(announced.slots);
    updateSelf(membership::MemberState::serving, announced.service, announced.slots, announced.connections, now);
    declareService();
}

void Core::handleNotice(const RunEnded &ended, const SteadyTime now)
{
    const bool isLeaving = ended.notice.has_value() && ended.notice->isLeaving;
    if (!isLeaving || !m_server.has_value() || hasLeft(m_server->instance) || !m_serving->isAtPresentServer(ended.execution)) {
        return;
    }
    m_context->metrics.count("server_notices", "leaving");
    m_context->actions.emplace_back(ServerLeavingNoticed{.instance = m_server->instance});
    handleDraining({.instance = m_server->instance}, now);
}

void Core::noteReplacement(const ServerAnnounced &announced, const SteadyTime now)
{
    m_serving->noteServerReplaced(now);
    const bool isSameInstance = m_server.has_value() && !announced.instance.empty() && announced.instance == m_server->instance;
    if (!isSameInstance) {
        m_serving->noteServerEnded(m_isDraining);
        spreadCrashReports(now);
    }
}

bool Core::isServerUnnamed() const
{
    return !m_server.has_value() || m_server->instance.empty();
}

void Core::handleDraining(const ServerDraining &draining, const SteadyTime now)
{
    if (draining.isShutdown) {
        m_isShuttingDown = true;
        m_entry->drain();
        // Requests accepted after callers are no longer served would outlast the process.
        if (m_stopAcceptingAt.has_value()) {
            m_stopAcceptingAt = now;
            tickDrain(now);
        }
    }
    const bool isDaemonShutdown = draining.isShutdown || draining.isSignal;
    m_isSignalled = m_isSignalled || isDaemonShutdown;
    if (!isDaemonShutdown && !recordDeparture(draining.instance, now)) {
        return;
    }
    if (m_isDraining) {
        // The server's own report, after the signal, can shorten the remaining time.
        if (m_stopAcceptingAt.has_value() && !isDaemonShutdown) {
            m_stopAcceptingAt = std::min(*m_stopAcceptingAt, now + m_drainTimes.afterReport);
            limitLastStart(now);
        }
        return;
    }
    m_isDraining = true;
    if (!m_server.has_value()) {
        m_lastAnnounced = now;
    }
    m_stopAcceptingAt = now + (isDaemonShutdown ? m_drainTimes.afterSignal : m_drainTimes.afterReport);
    if (!isDaemonShutdown) {
        limitLastStart(now);
    }
    tickDrain(now);
    publishDraining(now);
}

void Core::publishDraining(const SteadyTime now)
{
    const membership::Member &self = m_context->roster.self();
    updateSelf(membership::MemberState::draining, self.service, self.slots, self.connections, now);
}

void Core::handleLeft(const SteadyTime now)
{
    m_serving->noteServerEnded(true);
    m_server.reset();
    m_heldAnnouncement.reset();
    m_isDraining = m_isSignalled;
    m_serving->setServer(0);
    updateSelf(membership::MemberState::idle, {}, 0, 0, now);
}

void Core::tickServer(const SteadyTime now)
{
    // A backend server that crashes reports nothing, and its daemon would keep offering its slots: callers would see one
    // refused connection after another. The server counts as gone once its announcements stop.
    const bool isServerExpected = m_server.has_value() || (m_isDraining && !m_isSignalled);
    if (isServerExpected && now - m_lastAnnounced >= internal::announcementTimeout) {
        m_context->metrics.count("membership", "server-silent");
        m_serving->noteServerEnded(m_isDraining);
        spreadCrashReports(now);
        handleLeft(now);
    }
}

void Core::limitLastStart(const SteadyTime now)
{
    if (m_drainTimes.lastStart > Duration{} && !m_lastStartAt.has_value()) {
        m_lastStartAt = now + m_drainTimes.lastStart;
    }
}

void Core::tickDrain(const SteadyTime now)
{
    if (m_stopAcceptingAt.has_value() && now >= *m_stopAcceptingAt) {
        m_stopAcceptingAt.reset();
        m_serving->drain();
    }
    if (m_lastStartAt.has_value() && now >= *m_lastStartAt) {
        m_lastStartAt.reset();
        m_serving->refuseWaiting(now);
    }
}

} // namespace egretlatch::decision
