#include <egretlatch/admission/level_control.hpp>

#include <algorithm>
#include <cmath>

namespace egretlatch::admission
{

namespace internal
{

// A class that is shed whole sends nothing; forgotten early, it would be opened in one go with all that lie below it.
constexpr std::chrono::seconds demandMemory{60};
constexpr int samplesInUnderWay = 20;
// The admitted share of a class grows by this part of itself, then by more with each step that finds room.
constexpr double firstOpening = 0.05;
constexpr double openingGrowth = 3.0;
constexpr double widestOpening = 1e6;
// Share that a class is opened by at first.
constexpr double smallestShare = 0.005;
constexpr double headroom = 0.5;
// Part of the room that one step may open, where the demand of the class is known.
constexpr double usedRoom = 0.7;
// Share of the capacity.
constexpr double negligibleShed = 0.005;
// Demand above this share of the capacity is cut at once while the queue is too long.
constexpr double fullUse = 1.0;
// Additional cut for each multiple of the target that the queue stands at, so that the queue itself goes away.
constexpr double cutForQueue = 0.15;
constexpr double widestCutForQueue = 0.3;

[[nodiscard]] static double secondsOf(const Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace internal

void LevelControl::noteArrival(const Ticket &ticket, const Duration slotTime, const SteadyTime now)
{
    m_underWay += (ticket.invested - m_underWay) / internal::samplesInUnderWay;
    const bool isAdmitted = admits(m_level, ticket.rankClass, ticket.root);
    Demand &demand = m_demand[ticket.rankClass];
    demand.lastArrival = now;
    if (isAdmitted) {
        add(demand, slotTime, now);
    }
}

void LevelControl::noteShed(const Ticket &ticket, const Duration slotTime, const SteadyTime now)
{
    // A root that is shed here has cost nothing yet, and the gate sheds in better order than any level.
    if (ticket.isInner && admits(m_level, ticket.rankClass, ticket.root)) {
        add(m_shed, slotTime, now);
    }
}

void LevelControl::add(Demand &demand, const Duration slotTime, const SteadyTime now) const
{
    decay(demand, now);
    demand.rate += internal::secondsOf(slotTime) / internal::secondsOf(m_times.demandWindow);
}

void LevelControl::decay(Demand &demand, const SteadyTime now) const
{
    demand.rate = rateAt(demand, now);
    demand.updated = std::max(demand.updated, now);
}

double LevelControl::rateAt(const Demand &demand, const SteadyTime now) const
{
    const Duration passed = std::max(now - demand.updated, Duration{});
    return demand.rate * std::exp(-internal::secondsOf(passed) / internal::secondsOf(m_times.demandWindow));
}

double LevelControl::admittedDemand(const SteadyTime now) const
{
    double sum = 0.0;
    for (const auto &[rankClass, demand] : m_demand) {
        sum += rateAt(demand, now);
    }
    return sum;
}

double LevelControl::shedRate(const SteadyTime now) const
{
    return rateAt(m_shed, now);
}

Duration LevelControl::stepInterval() const
{
    return std::clamp<Duration>(m_underWay + m_underWay / 2, m_times.minStepInterval, m_times.maxStepInterval);
}

void LevelControl::update(const QueueState &pressure, const SteadyTime now)
{
    if (now - m_lastStep < m_times.minStepInterval) {
        return;
    }
    m_lastStep = now;
    forgetIdle(now);
    for (auto &[rankClass, demand] : m_demand) {
        decay(demand, now);
    }
    const double queue = pressure.of(pressure.line.work());
    decay(m_shed, now);
    if (queue > 1.0 || m_shed.rate > internal::negligibleShed * pressure.limit) {
        const double cut = std::clamp(internal::cutForQueue * (queue - 1.0), 0.0, internal::widestCutForQueue);
        const double excess = std::max(admittedDemand(now) - pressure.limit * (internal::fullUse - cut), m_shed.rate);
        m_shed.rate = 0.0;
        if (excess > 0.0) {
            raise(excess, pressure, now);
        }
        m_openStep = internal::firstOpening;
        m_lastOpening = now;
        return;
    }
    if (queue >= internal::headroom) {
        m_lastOpening = now;
        return;
    }
    if (m_level > Level{} && now - m_lastOpening >= stepInterval()) {
        lower(1.0 + std::min(m_openStep, roomInClass(pressure, now)));
        m_openStep = std::min(m_openStep * internal::openingGrowth, internal::widestOpening);
        m_lastOpening = now;
    }
}

double LevelControl::roomInClass(const QueueState &pressure, const SteadyTime now)
{
    const auto found = m_demand.find(m_level.rankClass());
    const double room = pressure.limit - admittedDemand(now);
    if (found == m_demand.end() || found->second.rate < internal::negligibleShed * pressure.limit) {
        return internal::widestOpening;
    }
    return std::max(internal::firstOpening, internal::usedRoom * room / found->second.rate);
}

void LevelControl::raise(double excess, const QueueState &pressure, const SteadyTime now)
{
    for (auto &[rankClass, demand] : m_demand) {
        if (rankClass < m_level.rankClass() || demand.rate <= 0.0) {
            continue;
        }
        const double refused = rankClass == m_level.rankClass() ? m_level.fraction : 0.0;
        const double open = 1.0 - refused;
        const double cut = std::min(excess, demand.rate);
        m_level = {.priority = rankClass.priority, .density = rankClass.density, .fraction = refused + open * cut / demand.rate};
        demand.rate -= cut;
        demand.updated = now;
        excess -= cut;
        // A class that itself hardly waits is not cut for a queue of lower ones: those give way to it in the queue.
        if (excess <= 0.0 || pressure.of(pressure.line.workAbove(rankClass)) <= 1.0) {
            return;
        }
    }
}

void LevelControl::lower(double factor)
{
    while (factor > 1.0) {
        const double open = std::max(1.0 - m_level.fraction, internal::smallestShare);
        if (open * factor < 1.0) {
            m_level.fraction = 1.0 - open * factor;
            return;
        }
        factor *= open;
        const auto at = m_demand.lower_bound(m_level.rankClass());
        if (at == m_demand.begin()) {
            m_level = {};
            return;
        }
        const RankClass below = std::prev(at)->first;
        m_level = {.priority = below.priority, .density = below.density, .fraction = 1.0};
    }
}

void LevelControl::forgetIdle(const SteadyTime now)
{
    std::erase_if(m_demand, [now](const auto &entry) {
        return now - entry.second.lastArrival > internal::demandMemory;
    });
}

} // namespace egretlatch::admission
