#include <egretlatch/quota/fleet_view.hpp>

#include <algorithm>

#include <xxhash.h>

namespace egretlatch::quota
{

namespace internal
{

// Daemons that were lost this long ago count as removed; a partition that lasts longer is rare, and the operator sees it.
constexpr std::chrono::seconds lostRetention{30};
// Others are discovered within half a second of a start.
constexpr std::chrono::seconds maxTimeAlone{2};
// By then, the membership has marked a daemon that has ended, or it is back.
constexpr std::chrono::seconds unreachableTime{2};

} // namespace internal

void FleetView::setMembers(std::vector<DaemonId> members, const SteadyTime now)
{
    m_startedAt = m_startedAt.value_or(now);
    if (members.size() >= largestSize(now)) {
        m_largestSize = std::max<std::size_t>(members.size(), 1);
        m_largestAt = now;
    }
    if (members != m_members) {
        m_members = std::move(members);
        m_coordinators.clear();
    }
}

bool FleetView::isSettled(const SteadyTime now) const
{
    return m_members.size() > 1 || m_largestSize > 1 || (m_startedAt.has_value() && now - *m_startedAt >= internal::maxTimeAlone);
}

void FleetView::noteUnreachable(const DaemonId &daemon, const SteadyTime now)
{
    m_unreachable[daemon] = now + internal::unreachableTime;
    m_coordinators.clear();
}

DaemonId FleetView::coordinatorOf(const std::string &account, const SteadyTime now)
{
    const std::size_t ended = std::erase_if(m_unreachable, [now](const auto &entry) {
        return now >= entry.second;
    });
    if (ended > 0) {
        m_coordinators.clear();
    }
    const auto found = m_coordinators.find(account);
    if (found != m_coordinators.end()) {
        return found->second;
    }
    const std::uint64_t seed = XXH64(account.data(), account.size(), 0);
    const auto weightOf = [this, seed](const DaemonId &member) {
        return m_unreachable.contains(member) ? 0 : XXH64(member.value.data(), member.value.size(), seed);
    };
    const auto chosen = std::max_element(m_members.begin(), m_members.end(), [&weightOf](const DaemonId &left, const DaemonId &right) {
        return weightOf(left) < weightOf(right);
    });
    DaemonId coordinator = chosen == m_members.end() ? DaemonId{} : *chosen;
    m_coordinators.emplace(account, coordinator);
    return coordinator;
}

double FleetView::share(const SteadyTime now)
{
    return static_cast<double>(std::max<std::size_t>(m_members.size(), 1)) / static_cast<double>(largestSize(now));
}

std::size_t FleetView::largestSize(const SteadyTime now)
{
    if (now - m_largestAt > internal::lostRetention) {
        m_largestSize = std::max<std::size_t>(m_members.size(), 1);
        m_largestAt = now;
    }
    return std::max(m_largestSize, m_members.size());
}

} // namespace egretlatch::quota
