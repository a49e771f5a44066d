#include <egretlatch/admission/static_gate.hpp>

#include <algorithm>

namespace egretlatch::admission
{

StaticGate::StaticGate(const int slots, const std::size_t queueCapacity)
    : m_slots{slots}
    , m_queueCapacity{queueCapacity}
{
}

GateRelease StaticGate::offer(const Ticket &ticket, const SteadyTime now)
{
    GateRelease release;
    if (m_waiting.size() >= m_queueCapacity) {
        release.refused.push_back({.execution = ticket.execution,
                                   .reason = account::RefusalReason::overloadInQueue,
                                   .rule = "the queue is full",
                                   .figures = {{.name = "queued", .value = static_cast<double>(m_waiting.size())}},
                                   .retryAfter = {}});
        return release;
    }
    m_waiting.push_back(ticket);
    startWaiting(now, release);
    return release;
}

GateRelease StaticGate::finish(const ExecutionId execution, const Observation & /*observation*/, const SteadyTime now)
{
    GateRelease release;
    m_running.erase(execution);
    startWaiting(now, release);
    return release;
}

bool StaticGate::withdraw(const ExecutionId execution)
{
    return std::erase_if(m_waiting,
                         [execution](const Ticket &ticket) {
                             return ticket.execution == execution;
                         })
        > 0;
}

GateRelease StaticGate::tick(const SteadyTime now)
{
    GateRelease release;
    startWaiting(now, release);
    return release;
}

void StaticGate::setSlots(const int slots)
{
    m_slots = slots;
}

void StaticGate::setQueueTarget(const Duration /*target*/)
{
}

LoadReport StaticGate::load(const SteadyTime now) const
{
    LoadReport report;
    report.inFlight = static_cast<int>(m_running.size());
    report.limit = m_slots;
    report.queued = static_cast<int>(m_waiting.size());
    report.queueDelay = m_waiting.empty() ? Duration{} : now - m_waiting.front().arrived;
    return report;
}

void StaticGate::startWaiting(const SteadyTime now, GateRelease &release)
{
    while (!m_waiting.empty()) {
        const Ticket &ticket = m_waiting.front();
        const bool hasExpired = ticket.deadline <= now;
        if (!hasExpired && static_cast<int>(m_running.size()) >= m_slots) {
            return;
        }
        if (hasExpired) {
            release.refused.push_back({.execution = ticket.execution,
                                       .reason = account::RefusalReason::deadlinePassed,
                                       .rule = "the deadline passed in the queue",
                                       .figures = {},
                                       .retryAfter = {}});
        } else {
            m_running.insert(ticket.execution);
            release.started.push_back(ticket.execution);
        }
        m_waiting.pop_front();
    }
}

} // namespace egretlatch::admission
