#include <egretlatch/admission/static_gate.hpp>

namespace egretlatch::admission
{

StaticGate::StaticGate(const int slots, const std::size_t queueCapacity)
    : SlotGate{slots}
    , m_queueCapacity{queueCapacity}
{
}

GateRelease StaticGate::offer(const Ticket &ticket, const SteadyTime now)
{
    GateRelease release;
    if (m_waiting.size() >= m_queueCapacity) {
        release.refused.push_back(queueFull(ticket.execution));
        return release;
    }
    m_waiting.push_back(ticket);
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

LoadReport StaticGate::load(const SteadyTime now) const
{
    LoadReport report = SlotGate::load(now);
    report.queueDelay = m_waiting.empty() ? Duration{} : now - m_waiting.front().arrived;
    return report;
}

const Ticket *StaticGate::next() const
{
    return m_waiting.empty() ? nullptr : &m_waiting.front();
}

void StaticGate::dropNext()
{
    m_waiting.pop_front();
}

std::size_t StaticGate::queued() const
{
    return m_waiting.size();
}

} // namespace egretlatch::admission
