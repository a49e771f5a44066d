#include <egretlatch/admission/priority_gate.hpp>

#include <algorithm>

namespace egretlatch::admission
{

PriorityGate::PriorityGate(const int slots, const std::size_t queueCapacity)
    : SlotGate{slots}
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

bool PriorityGate::withdraw(const ExecutionId execution)
{
    for (auto entry = m_waiting.begin(); entry != m_waiting.end(); ++entry) {
        const auto withdrawn = std::erase_if(entry->second, [execution](const Ticket &ticket) {
            return ticket.execution == execution;
        });
        if (withdrawn > 0) {
            m_queued -= withdrawn;
            eraseIfEmpty(entry);
            return true;
        }
    }
    return false;
}

const Ticket *PriorityGate::next() const
{
    return m_waiting.empty() ? nullptr : &m_waiting.begin()->second.front();
}

void PriorityGate::dropNext()
{
    m_waiting.begin()->second.pop_front();
    --m_queued;
    eraseIfEmpty(m_waiting.begin());
}

std::size_t PriorityGate::queued() const
{
    return m_queued;
}

void PriorityGate::refuseLowest(GateRelease &release)
{
    const auto lowest = std::prev(m_waiting.end());
    release.refused.push_back(queueFull(lowest->second.back().execution));
    lowest->second.pop_back();
    --m_queued;
    eraseIfEmpty(lowest);
}

void PriorityGate::eraseIfEmpty(const Queues::iterator queue)
{
    if (queue->second.empty()) {
        m_waiting.erase(queue);
    }
}

} // namespace egretlatch::admission
