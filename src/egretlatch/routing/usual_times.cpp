#include <egretlatch/routing/usual_times.hpp>

#include <algorithm>

namespace egretlatch::routing
{

namespace internal
{

constexpr double samplesInUsual = 50.0;
// Stands for kinds of which no answer was seen, and below it servers are not told apart: it is the time of a short call.
constexpr std::chrono::milliseconds shortestUsual{20};
// One answer in a hundred takes many times as long by its own nature, which says nothing of its server.
constexpr double mostSlowness = 4.0;

} // namespace internal

double UsualTimes::note(const std::string &kind, const Duration latency, const std::size_t bytes)
{
    const auto [found, isNew] = m_kinds.try_emplace(kind, Usual{.latency = latency, .bytes = static_cast<double>(bytes)});
    if (isNew) {
        return 1.0;
    }
    Usual &usual = found->second;
    const double slowness = std::chrono::duration<double>(latency) / std::chrono::duration<double>(std::max<Duration>(usual.latency, std::chrono::milliseconds{1}));
    const Duration counted = std::min(latency, std::chrono::duration_cast<Duration>(internal::mostSlowness * usual.latency));
    usual.latency += std::chrono::duration_cast<Duration>((counted - usual.latency) / internal::samplesInUsual);
    usual.bytes += (static_cast<double>(bytes) - usual.bytes) / internal::samplesInUsual;
    return std::min(slowness, internal::mostSlowness);
}

Duration UsualTimes::latency(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? Duration{internal::shortestUsual} : std::max<Duration>(found->second.latency, internal::shortestUsual);
}

double UsualTimes::bytes(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? 0.0 : found->second.bytes;
}

} // namespace egretlatch::routing
