#include <egretlatch/decision/crash_detector.hpp>

namespace egretlatch::decision
{

namespace internal
{

// The next request after a crash comes within this time at all but an idle server, where a crash hurts least.
constexpr std::chrono::seconds longestBetween{2};
// A server that crashed is back within some seconds.
constexpr std::chrono::seconds longestAbsence{10};

} // namespace internal

void CrashDetector::noteLost(const admission::RequestFingerprint request, const SteadyTime now)
{
    while (!m_lost.empty() && now - m_lost.front().first > internal::longestAbsence) {
        m_lost.pop_front();
    }
    m_lost.emplace_back(now, request);
}

std::vector<admission::RequestFingerprint> CrashDetector::noteNeverConnected(const SteadyTime now)
{
    return takeLost(internal::longestBetween, now);
}

std::vector<admission::RequestFingerprint> CrashDetector::noteReplaced(const SteadyTime now)
{
    return takeLost(internal::longestAbsence, now);
}

std::vector<admission::RequestFingerprint> CrashDetector::takeLost(const Duration longestAgo, const SteadyTime now)
{
    std::vector<admission::RequestFingerprint> running;
    for (const auto &[when, request] : m_lost) {
        if (now - when <= longestAgo) {
            running.push_back(request);
        }
    }
    m_lost.clear();
    return running;
}

} // namespace egretlatch::decision
