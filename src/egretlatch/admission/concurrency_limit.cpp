#include <egretlatch/admission/concurrency_limit.hpp>

#include <algorithm>

namespace egretlatch::admission
{

namespace internal
{

constexpr std::chrono::milliseconds minWindow{100};
constexpr std::chrono::milliseconds backOffInterval{100};
constexpr int minRuns = 8;
constexpr int runsPerSlot = 2;
constexpr double saturatedShare = 0.8;
// Latency without inner calls beyond this multiple of the baseline starts a trial of a lower limit.
constexpr double trialSlowness = 1.5;
constexpr double baselineSlownessDrift = 1.001;
// The lower limit is kept if throughput stays at or above this share of the earlier one.
constexpr double keptThroughput = 0.95;
constexpr double backOffFactor = 0.7;
constexpr int stepDivisor = 8;
constexpr int windowsAfterFailure = 8;
constexpr int maxDoublings = 4;

} // namespace internal

void ConcurrencyLimit::setSlots(const int slots)
{
    if (slots == m_slots) {
        return;
    }
    m_slots = slots;
    m_limit = slots;
    m_isTrial = false;
    m_runsToSkip = 0;
    m_window = {};
}

void ConcurrencyLimit::note(const LimitSample &sample, const SteadyTime now)
{
    if (m_window.begin == SteadyTime{}) {
        m_window.begin = now;
    }
    switch (sample.outcome) {
    case RunOutcome::rejected:
    case RunOutcome::lost:
        if (m_areSlotsTrusted) {
            return;
        }
        ++m_window.rejections;
        backOff(now);
        return;
    case RunOutcome::failed:
    case RunOutcome::abandoned:
        // A failure says nothing about the server's capacity, and an abandoned run was ended by its caller or its deadline.
        return;
    case RunOutcome::succeeded:
        break;
    }
    if (m_runsToSkip > 0) {
        --m_runsToSkip;
        m_window.begin = now;
        return;
    }
    ++m_window.runs;
    m_window.saturatedRuns += sample.isSaturated ? 1 : 0;
    const double cost = std::chrono::duration<double>(std::max(sample.cost, Duration{std::chrono::milliseconds{1}})).count();
    m_window.slownessSum += std::chrono::duration<double>(sample.ownLatency).count() / cost;
    if (now - m_window.begin >= internal::minWindow && m_window.runs >= std::max(internal::minRuns, internal::runsPerSlot * m_limit)) {
        closeWindow(now);
    }
}

void ConcurrencyLimit::backOff(const SteadyTime now)
{
    if (now - m_lastBackOff < internal::backOffInterval) {
        return;
    }
    m_lastBackOff = now;
    m_isTrial = false;
    m_runsToSkip = 0;
    m_limit = std::max(1, static_cast<int>(m_limit * internal::backOffFactor));
}

void ConcurrencyLimit::closeWindow(const SteadyTime now)
{
    const Window window = m_window;
    m_window = {.begin = now};
    const double slowness = window.slownessSum / window.runs;
    // By Little's law: counting completed runs in so short a window would be off by whole batches of runs.
    const double throughput = m_limit / slowness;
    const bool isSaturated = window.saturatedRuns >= internal::saturatedShare * window.runs;
    if (m_isTrial) {
        evaluateTrial(throughput);
        return;
    }
    m_baselineSlowness = m_baselineSlowness == 0.0 ? slowness : std::min(slowness, m_baselineSlowness * internal::baselineSlownessDrift);
    if (window.rejections > 0) {
        return;
    }
    const bool isSlow = isSaturated && slowness > internal::trialSlowness * m_baselineSlowness;
    if (!isSlow) {
        grow();
    } else if (m_windowsToWait > 0) {
        --m_windowsToWait;
    } else if (m_limit > 1) {
        beginTrial(throughput);
    }
}

void ConcurrencyLimit::beginTrial(const double throughput)
{
    m_isTrial = true;
    m_limitBeforeTrial = m_limit;
    m_throughputBeforeTrial = throughput;
    m_runsToSkip = m_limit;
    m_limit = std::max(1, m_limit - std::max(1, m_limit / internal::stepDivisor));
}

void ConcurrencyLimit::evaluateTrial(const double throughput)
{
    m_isTrial = false;
    if (throughput >= internal::keptThroughput * m_throughputBeforeTrial) {
        m_failedTrials = 0;
        return;
    }
    m_limit = m_limitBeforeTrial;
    m_windowsToWait = internal::windowsAfterFailure << std::min(m_failedTrials, internal::maxDoublings);
    ++m_failedTrials;
}

void ConcurrencyLimit::grow()
{
    m_limit = std::min(m_slots, m_limit + std::max(1, m_limit / internal::stepDivisor));
}

} // namespace egretlatch::admission
