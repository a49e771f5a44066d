#include <egretlatch/admission/adaptive_gate.hpp>

#include <algorithm>

namespace egretlatch::admission
{

namespace internal
{

constexpr int samplesInMeanHeld = 20;
// Multiples of the aimed drain time up to which the queue may grow. A root has cost nothing yet and is refused early; an
// inner call carries what its root has cost so far.
constexpr int rootQueueFactor = 2;
constexpr int innerQueueFactor = 8;
// Multiples of the aimed drain time that a request may wait at most. An inner call that waits holds the slots of all runs
// above it, which others could use.
constexpr int longestWaitFactor = 4;
// The queue must cover half a run at least, or slots stand empty while the daemons further up learn that there is room.
constexpr int shortestQueueDivisor = 2;
constexpr std::chrono::milliseconds shortestRetryAfter{200};
constexpr std::chrono::milliseconds retryAfterBelowLevel{1000};

[[nodiscard]] static double millisecondsOf(const Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace internal

AdaptiveGate::AdaptiveGate(const GateRules &rules)
    : m_rules{rules}
    , m_level{rules.level}
{
    if (m_rules.areSlotsTrusted) {
        m_limit.trustSlots();
    }
}

GateRelease AdaptiveGate::offer(const Ticket &ticket, const SteadyTime now)
{
    GateRelease release;
    if (std::optional<GateRefusal> refusal = refusalOfHopeless(ticket, now)) {
        release.refused.push_back(std::move(*refusal));
        return release;
    }
    const Duration expected = m_estimator.expected(ticket.kind, ticket.cost);
    m_level.noteArrival(ticket, expected, now);
    m_waiting.push({.ticket = ticket, .expected = expected});
    startWaiting(now, release);
    shedExcess(&ticket, now, release);
    moveLevel(now);
    return release;
}

GateRelease AdaptiveGate::finish(const ExecutionId execution, const Observation &observation, const SteadyTime now)
{
    GateRelease release;
    const auto found = m_running.find(execution);
    if (found != m_running.end()) {
        const bool wasSaturated = static_cast<int>(m_running.size()) >= m_limit.value();
        noteEnd(found->second, observation, wasSaturated, now);
        m_running.erase(found);
    }
    startWaiting(now, release);
    moveLevel(now);
    return release;
}

bool AdaptiveGate::withdraw(const ExecutionId execution)
{
    return m_waiting.remove(execution);
}

GateRelease AdaptiveGate::tick(const SteadyTime now)
{
    GateRelease release;
    dropHopeless(now, release);
    startWaiting(now, release);
    shedExcess(nullptr, now, release);
    shedOverdue(now, release);
    moveLevel(now);
    return release;
}

void AdaptiveGate::setSlots(const int slots)
{
    m_limit.setSlots(slots);
}

void AdaptiveGate::setQueueTarget(const Duration target)
{
    m_queueTarget = target;
}

LoadReport AdaptiveGate::load(const SteadyTime now) const
{
    LoadReport report;
    report.inFlight = static_cast<int>(m_running.size());
    report.limit = m_limit.value();
    report.queued = static_cast<int>(m_waiting.size());
    report.level = m_level.level();
    report.queueDelay = now - m_waiting.oldestArrival(now);
    return report;
}

std::vector<account::Figure> AdaptiveGate::levelFigures(const SteadyTime now) const
{
    return {{.name = "queueDrainMs", .value = internal::millisecondsOf(drainTime())},
            {.name = "aimedDrainMs", .value = internal::millisecondsOf(aimedDrainTime())},
            {.name = "meanHeldMs", .value = internal::millisecondsOf(m_meanHeld)},
            {.name = "admittedDemand", .value = m_level.admittedDemand(now)},
            {.name = "shed", .value = m_level.shedRate(now)}};
}

std::optional<GateRefusal> AdaptiveGate::refusalOfHopeless(const Ticket &ticket, const SteadyTime now) const
{
    const Duration remaining = ticket.deadline - now;
    const Duration shortest = m_estimator.shortest(ticket.kind, now);
    if (remaining > Duration{} && remaining >= shortest) {
        return std::nullopt;
    }
    const bool hasExpired = remaining <= Duration{};
    return GateRefusal{
        .execution = ticket.execution,
        .reason = account::RefusalReason::deadlinePassed,
        .rule = hasExpired ? "the deadline passed before a slot was free" : "the time left is shorter than any run of this kind lately",
        .figures = {{.name = "remainingMs", .value = internal::millisecondsOf(remaining)},
                    {.name = "shortestRunMs", .value = internal::millisecondsOf(shortest)}},
        .retryAfter = retryAfter(ticket),
    };
}

void AdaptiveGate::dropHopeless(const SteadyTime now, GateRelease &release)
{
    static_cast<void>(m_waiting.removeIf([this, now, &release](const Waiting &waiting) {
        std::optional<GateRefusal> refusal = refusalOfHopeless(waiting.ticket, now);
        if (!refusal.has_value()) {
            return false;
        }
        release.refused.push_back(std::move(*refusal));
        return true;
    }));
}

void AdaptiveGate::startWaiting(const SteadyTime now, GateRelease &release)
{
    while (!m_waiting.empty() && static_cast<int>(m_running.size()) < m_limit.value()) {
        // Under pressure the oldest are the likeliest to be given up by their callers before they end. Where inner calls are
        // kept, the oldest has the most to lose.
        const bool isUnderPressure = !m_rules.keepsInnerCalls && drainTime() > aimedDrainTime();
        const Waiting next = m_waiting.popBest(isUnderPressure);
        const Ticket &ticket = next.ticket;
        if (std::optional<GateRefusal> refusal = refusalOfHopeless(ticket, now)) {
            release.refused.push_back(std::move(*refusal));
            continue;
        }
        m_running.emplace(ticket.execution, Running{.kind = ticket.kind, .cost = ticket.cost});
        release.started.push_back(ticket.execution);
    }
}

void AdaptiveGate::shedExcess(const Ticket *const arrived, const SteadyTime now, GateRelease &release)
{
    while (const Waiting *const next = nextToShed()) {
        const Waiting shed = *next;
        m_waiting.remove(shed.ticket.execution);
        const bool hasJustArrived = arrived != nullptr && shed.ticket.execution == arrived->execution;
        m_level.noteShed(shed.ticket, shed.expected, now);
        release.refused.push_back(refusalOf(shed, hasJustArrived, now));
    }
}

const Waiting *AdaptiveGate::nextToShed() const
{
    if (m_waiting.size() <= 1) {
        return nullptr;
    }
    if (!m_rules.keepsInnerCalls) {
        const Waiting &worst = m_waiting.worst();
        return drainTime() > longestDrainTime(worst.ticket) ? &worst : nullptr;
    }
    // What waits behind a root does not keep it waiting.
    const Waiting *const root = m_waiting.worstRoot();
    const bool isTooLong = root != nullptr && m_waiting.workUpTo(root->ticket) / std::max(1, m_limit.value()) > longestDrainTime(root->ticket);
    return isTooLong ? root : nullptr;
}

void AdaptiveGate::shedOverdue(const SteadyTime now, GateRelease &release)
{
    const SteadyTime latest = now - internal::longestWaitFactor * aimedDrainTime();
    for (const Waiting &overdue : m_waiting.removeIf([this, latest](const Waiting &waiting) {
             return waiting.ticket.arrived < latest && !(m_rules.keepsInnerCalls && waiting.ticket.isInner);
         })) {
        m_level.noteShed(overdue.ticket, overdue.expected, now);
        release.refused.push_back(refusalOf(overdue, false, now));
    }
}

GateRefusal AdaptiveGate::refusalOf(const Waiting &waiting, const bool hasJustArrived, const SteadyTime now) const
{
    const Ticket &ticket = waiting.ticket;
    return {
        .execution = ticket.execution,
        .reason = hasJustArrived ? account::RefusalReason::overloadAtServer : account::RefusalReason::overloadInQueue,
        .rule = hasJustArrived ? "the queue is full of requests that go first" : "gave way in the queue to requests that go first",
        .figures = {{.name = "priority", .value = static_cast<double>(ticket.rankClass.priority)},
                    {.name = "densityClass", .value = static_cast<double>(ticket.rankClass.density)},
                    {.name = "waitedMs", .value = internal::millisecondsOf(now - ticket.arrived)},
                    {.name = "queued", .value = static_cast<double>(m_waiting.size() + 1)},
                    {.name = "queueDrainMs", .value = internal::millisecondsOf(drainTime())},
                    {.name = "queueDrainLimitMs", .value = internal::millisecondsOf(longestDrainTime(ticket))},
                    {.name = "running", .value = static_cast<double>(m_running.size())},
                    {.name = "limit", .value = static_cast<double>(m_limit.value())}},
        .retryAfter = retryAfter(ticket),
    };
}

std::chrono::milliseconds AdaptiveGate::retryAfter(const Ticket &ticket) const
{
    const auto drain = std::chrono::duration_cast<std::chrono::milliseconds>(drainTime());
    const bool isBelow = !admits(m_level.level(), ticket.rankClass, ticket.root);
    return std::max(isBelow ? internal::retryAfterBelowLevel : internal::shortestRetryAfter, drain);
}

Duration AdaptiveGate::drainTime() const
{
    return m_waiting.work() / std::max(1, m_limit.value());
}

Duration AdaptiveGate::aimedDrainTime() const
{
    return std::max<Duration>({m_queueTarget, m_meanHeld / internal::shortestQueueDivisor, m_rules.minDrainTarget});
}

Duration AdaptiveGate::longestDrainTime(const Ticket &ticket) const
{
    return aimedDrainTime() * (ticket.isInner ? internal::innerQueueFactor : internal::rootQueueFactor);
}

void AdaptiveGate::noteEnd(const Running &running, const Observation &observation, const bool wasSaturated, const SteadyTime now)
{
    m_meanHeld += (observation.latency - m_meanHeld) / internal::samplesInMeanHeld;
    if (observation.outcome == RunOutcome::succeeded) {
        m_estimator.noteCompleted(running.kind, observation.latency, now);
    } else if (observation.outcome == RunOutcome::abandoned) {
        m_estimator.noteAbandoned(running.kind, observation.latency, now);
    }
    m_limit.note(
        {
            .outcome = observation.outcome,
            .ownLatency = observation.latency - observation.waitedForInner,
            .cost = running.cost,
            .isSaturated = wasSaturated,
        },
        now);
}

void AdaptiveGate::moveLevel(const SteadyTime now)
{
    m_level.update({.line = m_waiting, .target = aimedDrainTime(), .limit = m_limit.value()}, now);
}

} // namespace egretlatch::admission
