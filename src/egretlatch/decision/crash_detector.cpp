#include <egretlatch/decision/crash_detector.hpp>

namespace egretlatch::decision
{

namespace internal
{

// After a crash the next request arrives within this time, except at an idle server, where a crash matters least.
constexpr std::chrono::seconds maxConnectFailureDelay{2};
// A crashed server is back within a few seconds.
constexpr std::chrono::seconds maxRestartTime{10};

} // namespace internal

void CrashDetector::noteLostRun(const admission::RequestFingerprint request, const SteadyTime now)
{
    while (!m_lostRuns.empty() && now - m_lostRuns.front().first > internal::maxRestartTime) {
        m_lostRuns.pop_front();
    }
    m_lostRuns.emplace_back(now, request);
}

std::vector<admission::RequestFingerprint> CrashDetector::noteConnectFailure(const SteadyTime now)
{
    return takeLostRuns(internal::maxConnectFailureDelay, now);
}

std::vector<admission::RequestFingerprint> CrashDetector::noteReplacement(const SteadyTime now)
{
    return takeLostRuns(internal::maxRestartTime, now);
}

std::vector<admission::RequestFingerprint> CrashDetector::takeLostRuns(const Duration maxAge, const SteadyTime now)
{
    std::vector<admission::RequestFingerprint> running;
    for (const auto &[lostAt, request] : m_lostRuns) {
        if (now - lostAt <= maxAge) {
            running.push_back(request);
        }
    }
    m_lostRuns.clear();
    return running;
}

} // namespace egretlatch::decision
