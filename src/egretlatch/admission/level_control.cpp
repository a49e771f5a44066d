#include <egretlatch/admission/level_control.hpp>

#include <algorithm>
#include <cmath>

namespace egretlatch::admission
{

namespace internal
{

// A class that is refused entirely sends no requests. If it were forgotten early, it would be admitted in one step along
// with all classes below it.
constexpr std::chrono::seconds demandRetention{60};
constexpr int samplesInTimeToGate = 20;
constexpr double maxDrainRatioToLower = 0.5;
// Part of the free capacity that one step admits.
constexpr double usedHeadroomShare = 0.7;
// Smallest admitted share of a class from which its whole demand is estimated.
constexpr double minShareToLearn = 0.1;
// Share of the capacity below which shed inner calls do not count.
constexpr double negligibleShedShare = 0.005;
// While the queue is too long, demand above this share of the capacity is cut at once.
constexpr double fullUtilization = 1.0;
// Additional cut per multiple of the target drain time above one, so that the backlog itself drains.
constexpr double cutPerDrainRatio = 0.15;
constexpr double maxCutForQueue = 0.3;

[[nodiscard]] static double secondsOf(const Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace internal

void LevelControl::noteArrival(const Ticket &ticket, const Duration slotTime, const SteadyTime now)
{
    m_meanTimeToGate += (ticket.invested - m_meanTimeToGate) / internal::samplesInTimeToGate;
    const bool isAdmitted = admits(m_level, ticket.rankClass, ticket.root);
    Demand &demand = m_demand[ticket.rankClass];
    demand.lastArrival = now;
    if (isAdmitted) {
        add(demand, slotTime, now);
    }
}

void LevelControl::noteShed(const Ticket &ticket, const Duration slotTime, const SteadyTime now)
{
    // A root that is shed here has used no slot time yet, and the gate sheds more precisely by value than any level.
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
    if (now >= demand.expectedFrom) {
        demand.rate += demand.expected;
        demand.expected = 0.0;
    }
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
        sum += rateAt(demand, now) + demand.expected;
    }
    return sum;
}

double LevelControl::shedRate(const SteadyTime now) const
{
    return rateAt(m_shed, now);
}

Duration LevelControl::stepInterval() const
{
    return std::clamp<Duration>(m_meanTimeToGate + m_meanTimeToGate / 2, m_times.minStepInterval, m_times.maxStepInterval);
}

void LevelControl::update(const QueueState &state, const SteadyTime now)
{
    if (now - m_lastStep < m_times.minStepInterval) {
        return;
    }
    m_lastStep = now;
    eraseIdle(now);
    for (auto &[rankClass, demand] : m_demand) {
        decay(demand, now);
    }
    learnWholeDemand();
    const double drainRatio = state.drainRatioOf(state.queue.work());
    decay(m_shed, now);
    if (drainRatio > 1.0 || m_shed.rate > internal::negligibleShedShare * state.limit) {
        const double cut = std::clamp(internal::cutPerDrainRatio * (drainRatio - 1.0), 0.0, internal::maxCutForQueue);
        const double excess = std::max(admittedDemand(now) - state.limit * (internal::fullUtilization - cut), m_shed.rate);
        m_shed.rate = 0.0;
        if (excess > 0.0) {
            raise(excess, state);
        }
        m_lastLowered = now;
        return;
    }
    if (drainRatio >= internal::maxDrainRatioToLower) {
        m_lastLowered = now;
        return;
    }
    if (m_level > Level{} && now - m_lastLowered >= stepInterval()) {
        lower(internal::usedHeadroomShare * (state.limit - admittedDemand(now)), state.limit, now);
        m_lastLowered = now;
    }
}

void LevelControl::learnWholeDemand()
{
    for (auto &[rankClass, demand] : m_demand) {
        if (rankClass < m_level.rankClass()) {
            continue;
        }
        const double open = rankClass == m_level.rankClass() ? 1.0 - m_level.fraction : 1.0;
        if (open >= internal::minShareToLearn) {
            demand.whole = (demand.rate + demand.expected) / open;
        }
    }
}

void LevelControl::raise(double excess, const QueueState &state)
{
    for (auto &[rankClass, demand] : m_demand) {
        const double admitted = demand.rate + demand.expected;
        if (rankClass < m_level.rankClass() || admitted <= 0.0) {
            continue;
        }
        const double refused = rankClass == m_level.rankClass() ? m_level.fraction : 0.0;
        const double open = 1.0 - refused;
        const double cut = std::min(excess, admitted);
        const double kept = 1.0 - cut / admitted;
        m_level = {.priority = rankClass.priority, .density = rankClass.density, .fraction = refused + open * (1.0 - kept)};
        demand.rate *= kept;
        demand.expected *= kept;
        excess -= cut;
        // A class that hardly waits itself is not cut for a queue of lower classes, because the queue serves it before
        // them.
        if (excess <= 0.0 || state.drainRatioOf(state.queue.workAbove(rankClass)) <= 1.0) {
            return;
        }
    }
}

void LevelControl::lower(double room, const double unknownDemand, const SteadyTime now)
{
    while (room > 0.0 && m_level > Level{}) {
        const auto found = m_demand.find(m_level.rankClass());
        if (found == m_demand.end()) {
            lowerToNextClass();
            continue;
        }
        // The free capacity is filled at once, as far as the demand of the refused requests is known. Requests that are admitted now
        // count before they arrive; otherwise the next step would admit as many again.
        Demand &demand = found->second;
        const double whole = demand.whole.value_or(unknownDemand);
        const double admitted = std::min(whole * m_level.fraction, room);
        demand.expected += admitted;
        demand.expectedFrom = now + m_meanTimeToGate;
        room -= admitted;
        if (room <= 0.0) {
            m_level.fraction -= admitted / whole;
            return;
        }
        lowerToNextClass();
    }
}

void LevelControl::lowerToNextClass()
{
    const auto at = m_demand.lower_bound(m_level.rankClass());
    if (at == m_demand.begin()) {
        m_level = {};
        return;
    }
    const RankClass below = std::prev(at)->first;
    m_level = {.priority = below.priority, .density = below.density, .fraction = 1.0};
}

void LevelControl::eraseIdle(const SteadyTime now)
{
    std::erase_if(m_demand, [now](const auto &entry) {
        return now - entry.second.lastArrival > internal::demandRetention;
    });
}

} // namespace egretlatch::admission
