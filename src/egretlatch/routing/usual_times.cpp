#include <egretlatch/routing/usual_times.hpp>

#include <algorithm>

namespace egretlatch::routing
{

namespace internal
{

constexpr int samplesInUsual = 50;
// Stands for kinds of which no answer was seen.
constexpr std::chrono::milliseconds usualUnseen{100};
constexpr std::chrono::milliseconds shortestUsual{1};
// One answer in a hundred takes many times as long by its own nature; it counts as so many usual ones.
constexpr int mostTimesUsual = 4;

} // namespace internal

void UsualTimes::note(const std::string &kind, const Duration latency, const std::size_t bytes)
{
    const auto [found, isNew] = m_kinds.try_emplace(kind, Usual{.latency = latency, .bytes = static_cast<double>(bytes)});
    Usual &usual = found->second;
    const Duration counted = std::min(latency, internal::mostTimesUsual * std::max<Duration>(usual.latency, internal::shortestUsual));
    usual.latency += (counted - usual.latency) / internal::samplesInUsual;
    usual.bytes += (static_cast<double>(bytes) - usual.bytes) / internal::samplesInUsual;
}

Duration UsualTimes::latency(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? Duration{internal::usualUnseen} : std::max<Duration>(found->second.latency, internal::shortestUsual);
}

double UsualTimes::bytes(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? 0.0 : found->second.bytes;
}

} // namespace egretlatch::routing
