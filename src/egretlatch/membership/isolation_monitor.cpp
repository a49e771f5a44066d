#include <egretlatch/membership/isolation_monitor.hpp>

#include <algorithm>

namespace egretlatch::membership
{

namespace internal
{

// A healthy daemon gets an answer to its probe each second. Before a silence is reported there must have been time to find that a
// connection is dead (5 s, heartbeats of the links), to probe again (1 s) and for the shortest suspicion to end (4 s).
constexpr std::chrono::seconds isolationThreshold{10};
// Ticks are at most 100 ms apart, so a longer gap is a pause of this daemon; the same limit as for probes.
constexpr std::chrono::seconds maxTickGap{2};

} // namespace internal

std::optional<IsolationChange> IsolationMonitor::tick(const bool expectsMessages, const SteadyTime now)
{
    skipPause(now);
    const bool isAlone = !expectsMessages && !m_isolatedSince.has_value();
    if (!m_silentSince.has_value() || isAlone) {
        m_silentSince = now;
    }
    const bool isSilent = now - *m_silentSince >= internal::isolationThreshold;
    if (isSilent && !m_isolatedSince.has_value()) {
        m_isolatedSince = m_silentSince;
        return IsolationChange{.isIsolated = true, .silence = now - *m_silentSince};
    }
    if (!isSilent && m_isolatedSince.has_value()) {
        const IsolationChange ended{.isIsolated = false, .silence = *m_silentSince - *m_isolatedSince};
        m_isolatedSince.reset();
        return ended;
    }
    return std::nullopt;
}

PeerSilence IsolationMonitor::silence(const SteadyTime now) const
{
    return {.duration = now - m_silentSince.value_or(now), .isIsolated = m_isolatedSince.has_value()};
}

void IsolationMonitor::skipPause(const SteadyTime now)
{
    const Duration gap = now - m_lastTick.value_or(now);
    m_lastTick = now;
    if (gap <= internal::maxTickGap) {
        return;
    }
    // Messages that arrived during the pause may still be unread.
    if (m_silentSince.has_value()) {
        m_silentSince = std::min(now, *m_silentSince + gap);
    }
    if (m_isolatedSince.has_value()) {
        *m_isolatedSince += gap;
    }
}

} // namespace egretlatch::membership
