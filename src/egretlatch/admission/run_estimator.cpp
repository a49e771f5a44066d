#include <egretlatch/admission/run_estimator.hpp>

#include <algorithm>

namespace egretlatch::admission
{

namespace internal
{

constexpr std::chrono::milliseconds estimateWindow{500};
constexpr int samplesInMean = 10;
// Minimum number of completed runs for the shortest of them to be a bound for the next run.
constexpr int minRunsForBound = 5;
// Percentage of the observed time that is used as the bound if there were fewer runs.
constexpr int partialBoundPercent = 80;
constexpr int wholePercent = 100;

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
    runs.current.shortestCompleted = std::min(runs.current.shortestCompleted, held);
    ++runs.current.ended;
}

void RunEstimator::noteAbandoned(const std::string &kind, const Duration held, const SteadyTime now)
{
    Runs &runs = runsOf(kind, now);
    if (held > runs.mean) {
        runs.mean += (held - runs.mean) / internal::samplesInMean;
    }
    runs.current.longestAbandoned = std::max(runs.current.longestAbandoned, held);
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
    Duration shortestCompleted = Duration::max();
    Duration abandoned{};
    int ended = 0;
    for (const Window *const window : {&found->second.current, &found->second.previous}) {
        if (now - window->begin < 2 * internal::estimateWindow) {
            shortestCompleted = std::min(shortestCompleted, window->shortestCompleted);
            abandoned = std::max(abandoned, window->longestAbandoned);
            ended += window->ended;
        }
    }
    if (ended >= internal::minRunsForBound) {
        return shortestCompleted;
    }
    // A few runs, or one abandoned run, do not bound every other run. Without the reduction, a rare kind whose only run was
    // abandoned at its deadline would be refused even with all of its time left.
    return (ended > 0 ? shortestCompleted : abandoned) * internal::partialBoundPercent / internal::wholePercent;
}

} // namespace egretlatch::admission
