#include <egretlatch/admission/run_estimator.hpp>

#include <algorithm>

namespace egretlatch::admission
{

namespace internal
{

constexpr std::chrono::milliseconds estimateWindow{500};
constexpr int samplesInMean = 10;
// Ended runs from which the shortest of them is a bound for the next one.
constexpr int runsToTrust = 5;
// Part, in hundredths, of what fewer runs show that is taken for a bound.
constexpr int firstTrust = 80;
constexpr int hundredths = 100;

} // namespace internal

RunEstimator::Runs &RunEstimator::runsOf(const std::string &kind, const SteadyTime now)
{
    Runs &runs = m_runs[kind];
    if (now - runs.current.begin >= internal::estimateWindow) {
        runs.previous = runs.current;
        runs.current = {.begin = now};
    }
    return runs;
}

void RunEstimator::noteCompleted(const std::string &kind, const Duration held, const SteadyTime now)
{
    Runs &runs = runsOf(kind, now);
    runs.mean = runs.mean == Duration{} ? held : runs.mean + (held - runs.mean) / internal::samplesInMean;
    runs.current.shortestEnded = std::min(runs.current.shortestEnded, held);
    ++runs.current.ended;
}

void RunEstimator::noteAbandoned(const std::string &kind, const Duration held, const SteadyTime now)
{
    Runs &runs = runsOf(kind, now);
    if (held > runs.mean) {
        runs.mean += (held - runs.mean) / internal::samplesInMean;
    }
    runs.current.longestCutShort = std::max(runs.current.longestCutShort, held);
}

Duration RunEstimator::expected(const std::string &kind, const Duration declared) const
{
    const auto found = m_runs.find(kind);
    return found == m_runs.end() || found->second.mean == Duration{} ? declared : found->second.mean;
}

Duration RunEstimator::shortest(const std::string &kind, const SteadyTime now) const
{
    const auto found = m_runs.find(kind);
    if (found == m_runs.end()) {
        return {};
    }
    Duration shortestEnded = Duration::max();
    Duration cutShort{};
    int ended = 0;
    for (const Window *const window : {&found->second.current, &found->second.previous}) {
        if (now - window->begin < 2 * internal::estimateWindow) {
            shortestEnded = std::min(shortestEnded, window->shortestEnded);
            cutShort = std::max(cutShort, window->longestCutShort);
            ended += window->ended;
        }
    }
    if (ended >= internal::runsToTrust) {
        return shortestEnded;
    }
    // A few runs, or one that was cut short, say that this much was needed by them, not by every other; a rare kind whose
    // one long run was cut at its time would else be refused with all its time left.
    return (ended > 0 ? shortestEnded : cutShort) * internal::firstTrust / internal::hundredths;
}

} // namespace egretlatch::admission
