#include <egretlatch/routing/kind_averages.hpp>

#include <algorithm>

namespace egretlatch::routing
{

namespace internal
{

constexpr int averagingSamples = 50;
// Used for kinds without any answer yet.
constexpr std::chrono::milliseconds defaultLatency{100};
constexpr std::chrono::milliseconds minLatency{1};
// Some kinds have heavy-tailed latencies: one answer in a hundred takes many times as long as the others. A sample is clamped
// to this multiple of the average.
constexpr int maxLatencyRatio = 4;

} // namespace internal

void KindAverages::note(const std::string &kind, const Duration latency, const std::size_t bytes)
{
    const auto [found, isNew] = m_kinds.try_emplace(kind, Average{.latency = latency, .bytes = static_cast<double>(bytes)});
    Average &average = found->second;
    const Duration clamped = std::min(latency, internal::maxLatencyRatio * std::max<Duration>(average.latency, internal::minLatency));
    average.latency += (clamped - average.latency) / internal::averagingSamples;
    average.bytes += (static_cast<double>(bytes) - average.bytes) / internal::averagingSamples;
}

Duration KindAverages::latency(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? Duration{internal::defaultLatency} : std::max<Duration>(found->second.latency, internal::minLatency);
}

double KindAverages::bytes(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? 0.0 : found->second.bytes;
}

} // namespace egretlatch::routing
