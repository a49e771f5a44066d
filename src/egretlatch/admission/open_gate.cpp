#include <egretlatch/admission/open_gate.hpp>

namespace egretlatch::admission
{

GateRelease OpenGate::offer(const Ticket &ticket, const SteadyTime /*now*/)
{
    m_running.insert(ticket.execution);
    return {.started = {ticket.execution}, .refused = {}};
}

GateRelease OpenGate::finish(const ExecutionId execution, const Observation & /*observation*/, const SteadyTime /*now*/)
{
    m_running.erase(execution);
    return {};
}

bool OpenGate::withdraw(const ExecutionId /*execution*/)
{
    return false;
}

GateRelease OpenGate::tick(const SteadyTime /*now*/)
{
    return {};
}

void OpenGate::setSlots(const int slots)
{
    m_slots = slots;
}

void OpenGate::setQueueTarget(const Duration /*target*/)
{
}

LoadReport OpenGate::load(const SteadyTime /*now*/) const
{
    LoadReport report;
    report.inFlight = static_cast<int>(m_running.size());
    report.limit = m_slots;
    return report;
}

} // namespace egretlatch::admission
