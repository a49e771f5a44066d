#include <egretlatch/admission/priority_gate.hpp>

#include <algorithm>

namespace egretlatch::admission
{

PriorityGate::PriorityGate(const int slots, const std::size_t queueCapacity)
    : m_slots{slots}
    , m_queueCapacity{queueCapacity}
{
}

GateRelease PriorityGate::offer(const Ticket &ticket, const SteadyTime now)
{
    GateRelease release;
    m_waiting[ticket.rankClass.priority].push_back(ticket);
    ++m_queued;
    startWaiting(now, release);
    if (m_queued > m_queueCapacity) {
        refuseLowest(release);
    }
    return release;
}

GateRelease PriorityGate::finish(const ExecutionId execution, const Observation & /*observation*/, const SteadyTime now)
{
    GateRelease release;
    m_running.erase(execution);
    startWaiting(now, release);
    return release;
}

bool PriorityGate::withdraw(const ExecutionId execution)
{
    for (auto &[priority, tickets] : m_waiting) {
        const auto found = std::find_if(tickets.begin(), tickets.end(), [execution](const Ticket &ticket) {
            return ticket.execution == execution;
        });
        if (found != tickets.end()) {
            tickets.erase(found);
            --m_queued;
            return true;
        }
    }
    return false;
}

GateRelease PriorityGate::tick(const SteadyTime now)
{
    GateRelease release;
    startWaiting(now, release);
    return release;
}

void PriorityGate::setSlots(const int slots)
{
    m_slots = slots;
}

void PriorityGate::setQueueTarget(const Duration /*target*/)
{
}

LoadReport PriorityGate::load(const SteadyTime /*now*/) const
{
    LoadReport report;
    report.inFlight = static_cast<int>(m_running.size());
    report.limit = m_slots;
    report.queued = static_cast<int>(m_queued);
    return report;
}

void PriorityGate::startWaiting(const SteadyTime now, GateRelease &release)
{
    for (auto &[priority, tickets] : m_waiting) {
        while (!tickets.empty()) {
            const Ticket &ticket = tickets.front();
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
            tickets.pop_front();
            --m_queued;
        }
    }
}

void PriorityGate::refuseLowest(GateRelease &release)
{
    const auto lowest = std::find_if(m_waiting.rbegin(), m_waiting.rend(), [](const auto &entry) {
        return !entry.second.empty();
    });
    if (lowest == m_waiting.rend()) {
        return;
    }
    release.refused.push_back({.execution = lowest->second.back().execution,
                               .reason = account::RefusalReason::overloadInQueue,
                               .rule = "the queue is full",
                               .figures = {{.name = "queued", .value = static_cast<double>(m_queued)}},
                               .retryAfter = {}});
    lowest->second.pop_back();
    --m_queued;
}

} // namespace egretlatch::admission
