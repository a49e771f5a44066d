#include <egretlatch/admission/slot_gate.hpp>

namespace egretlatch::admission
{

SlotGate::SlotGate(const int slots)
    : m_slots{slots}
{
}

GateRelease SlotGate::finish(const ExecutionId execution, const Observation & /*observation*/, const SteadyTime now)
{
    GateRelease release;
    m_running.erase(execution);
    startWaiting(now, release);
    return release;
}

GateRelease SlotGate::tick(const SteadyTime now)
{
    GateRelease release;
    startWaiting(now, release);
    return release;
}

void SlotGate::setSlots(const int slots)
{
    m_slots = slots;
}

void SlotGate::setQueueTarget(const Duration /*target*/)
{
}

LoadReport SlotGate::load(const SteadyTime /*now*/) const
{
    LoadReport report;
    report.inFlight = static_cast<int>(m_running.size());
    report.limit = m_slots;
    report.queued = static_cast<int>(queued());
    return report;
}

void SlotGate::startWaiting(const SteadyTime now, GateRelease &release)
{
    while (const Ticket *const ticket = next()) {
        const bool hasExpired = ticket->deadline <= now;
        if (!hasExpired && static_cast<int>(m_running.size()) >= m_slots) {
            return;
        }
        if (hasExpired) {
            release.refused.push_back({.execution = ticket->execution,
                                       .reason = account::RefusalReason::deadlinePassed,
                                       .rule = "the deadline passed in the queue",
                                       .figures = {},
                                       .retryAfter = {}});
        } else {
            m_running.insert(ticket->execution);
            release.started.push_back(ticket->execution);
        }
        dropNext();
    }
}

GateRefusal SlotGate::queueFull(const ExecutionId execution) const
{
    return {.execution = execution,
            .reason = account::RefusalReason::overloadInQueue,
            .rule = "the queue is full",
            .figures = {{.name = "queued", .value = static_cast<double>(queued())}},
            .retryAfter = {}};
}

} // namespace egretlatch::admission
