#include <egretlatch/admission/admission_queue.hpp>

#include <bit>

namespace egretlatch::admission
{

AdmissionQueue::Group AdmissionQueue::groupOf(const Ticket &ticket)
{
    if (!ticket.isInner) {
        return {.rankClass = ticket.rankClass, .invested = 0};
    }
    // Invested time is grouped by powers of two milliseconds; within a group the order of arrival decides.
    const auto invested = std::chrono::duration_cast<std::chrono::milliseconds>(ticket.invested).count();
    return {.rankClass = ticket.rankClass, .invested = 1 + static_cast<int>(std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(invested, 0))))};
}

void AdmissionQueue::push(QueuedRequest waiting)
{
    const Group group = groupOf(waiting.ticket);
    const ExecutionId execution = waiting.ticket.execution;
    m_work += waiting.expected;
    Queue &queue = m_groups[group];
    queue.push_back(std::move(waiting));
    m_locations.emplace(execution, Location{.group = group, .position = std::prev(queue.end())});
}

QueuedRequest AdmissionQueue::popMostValuable(const bool isNewestFirst)
{
    const auto group = m_groups.begin();
    return take(group, isNewestFirst ? std::prev(group->second.end()) : group->second.begin());
}

const QueuedRequest &AdmissionQueue::leastValuable() const
{
    return m_groups.rbegin()->second.front();
}

const QueuedRequest *AdmissionQueue::leastValuableRoot() const
{
    for (auto group = m_groups.rbegin(); group != m_groups.rend(); ++group) {
        if (group->first.invested == 0) {
            return &group->second.front();
        }
    }
    return nullptr;
}

Duration AdmissionQueue::workUpTo(const Ticket &ticket) const
{
    const auto last = m_groups.find(groupOf(ticket));
    Duration work{};
    for (auto group = m_groups.begin(); group != m_groups.end(); ++group) {
        for (const QueuedRequest &waiting : group->second) {
            work += waiting.expected;
        }
        if (group == last) {
            break;
        }
    }
    return work;
}

bool AdmissionQueue::remove(const ExecutionId execution)
{
    const auto found = m_locations.find(execution);
    if (found == m_locations.end()) {
        return false;
    }
    const Location location = found->second;
    static_cast<void>(take(m_groups.find(location.group), location.position));
    return true;
}

Duration AdmissionQueue::workAbove(const RankClass &rankClass) const
{
    Duration work{};
    for (const auto &[group, queue] : m_groups) {
        if (group.rankClass <= rankClass) {
            break;
        }
        for (const QueuedRequest &waiting : queue) {
            work += waiting.expected;
        }
    }
    return work;
}

SteadyTime AdmissionQueue::oldestArrival(const SteadyTime now) const
{
    SteadyTime oldest = now;
    for (const auto &[group, queue] : m_groups) {
        oldest = std::min(oldest, queue.front().ticket.arrived);
    }
    return oldest;
}

QueuedRequest AdmissionQueue::take(const Groups::iterator group, const Queue::iterator position)
{
    QueuedRequest taken = std::move(*position);
    group->second.erase(position);
    if (group->second.empty()) {
        m_groups.erase(group);
    }
    m_work -= taken.expected;
    m_locations.erase(taken.ticket.execution);
    return taken;
}

} // namespace egretlatch::admission
