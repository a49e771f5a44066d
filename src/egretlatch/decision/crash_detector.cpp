#include <egretlatch/decision/crash_detector.hpp>

#include <algorithm>

namespace egretlatch::decision
{

namespace internal
{

// After a crash the next request arrives within this time, except at an idle server, whose announcements then end.
constexpr std::chrono::seconds maxConnectFailureDelay{2};
// Announcements may arrive some seconds late: one that was sent before a crash does not show that the server runs.
constexpr std::chrono::seconds maxAnnouncementDelay{10};
// A server announces itself about every 1.5 seconds. One that has been silent for two such times did not end by what it ran last.
constexpr std::chrono::milliseconds maxSilenceBeforeCrash{3500};
// More runs than any server has slots; the oldest are forgotten first.
constexpr std::size_t maxUnansweredRuns = 1024;

} // namespace internal

void CrashDetector::noteLostRun(const admission::RequestIdentity &request, const SteadyTime now)
{
    const bool isSilent = m_lastSign.has_value() && now - *m_lastSign > internal::maxSilenceBeforeCrash;
    add({.endedAt = now, .request = request, .isLost = true, .isBroken = !isSilent});
}

void CrashDetector::noteLostTrial(const admission::RequestIdentity &request, const SteadyTime now)
{
    add({.endedAt = now, .request = request, .isLost = true, .isBroken = true});
}

void CrashDetector::noteAbandonedRun(const admission::RequestIdentity &request, const SteadyTime now)
{
    add({.endedAt = now, .request = request, .isLost = false});
}

void CrashDetector::noteAnswer(const SteadyTime startedAt, const SteadyTime now)
{
    m_lastSign = now;
    forgetBefore(startedAt);
}

void CrashDetector::noteAnnouncement(const SteadyTime now)
{
    m_lastSign = now;
    forgetBefore(now - internal::maxAnnouncementDelay);
}

void CrashDetector::forgetBefore(const SteadyTime time)
{
    while (!m_runs.empty() && m_runs.front().endedAt < time) {
        m_runs.pop_front();
    }
}

CrashedRuns CrashDetector::noteConnectFailure(const SteadyTime now)
{
    // A server also refuses connections while it has too many, so only connections that broke just before make it a crash.
    const bool hasJustLost = std::any_of(m_runs.begin(), m_runs.end(), [now](const UnansweredRun &run) {
        return run.isLost && now - run.endedAt <= internal::maxConnectFailureDelay;
    });
    return hasJustLost ? noteEnd() : CrashedRuns{};
}

CrashedRuns CrashDetector::noteEnd()
{
    CrashedRuns running;
    for (const UnansweredRun &run : m_runs) {
        (run.isBroken ? running.broken : running.unanswered).push_back(run.request);
    }
    noteDeparture();
    return running;
}

void CrashDetector::noteDeparture()
{
    m_runs.clear();
}

void CrashDetector::add(const UnansweredRun &run)
{
    if (m_runs.size() >= internal::maxUnansweredRuns) {
        m_runs.pop_front();
    }
    m_runs.push_back(run);
}

} // namespace egretlatch::decision
