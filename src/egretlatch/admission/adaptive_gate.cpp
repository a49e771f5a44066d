#include <egretlatch/admission/adaptive_gate.hpp>

#include <algorithm>

namespace egretlatch::admission
{

namespace internal
{

constexpr int samplesInMeanHeld = 20;
// Multiples of the target drain time up to which the queue may grow. A root has used no slot time yet and is refused early;
// refusing an inner call wastes the slot time already spent on its root.
constexpr int rootQueueFactor = 2;
constexpr int innerQueueFactor = 8;
// Maximum wait of a request, in multiples of the target drain time. A waiting inner call holds the slots of all upstream
// runs, which other requests could use.
constexpr int maxWaitFactor = 4;
// The queue must cover at least half a run; otherwise slots stay idle until upstream daemons learn that there is capacity.
constexpr int minDrainTargetDivisor = 2;
// A limit far below one run at a time must not divide by zero.
constexpr double minUsableSlots = 0.01;
constexpr std::chrono::milliseconds minRetryAfter{200};
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
    if (std::optional<GateRefusal> refusal = refusalIfUnmeetable(ticket, now)) {
        release.refused.push_back(std::move(*refusal));
        return release;
    }
    const Duration expected = m_estimator.expected(ticket.kind, ticket.cost);
    m_level.noteArrival(ticket, expected, now);
    m_queue.push({.ticket = ticket, .expected = expected});
    startWaiting(now, release);
    shedExcess(&ticket, now, release);
    updateLevel(now);
    return release;
}

GateRelease AdaptiveGate::finish(const ExecutionId execution, const Observation &observation, const SteadyTime now)
{
    GateRelease release;
    const auto found = m_running.find(execution);
    if (found != m_running.end()) {
        const bool wasSaturated = static_cast<int>(m_running.size()) >= m_limit.value();
        noteRunEnd(found->second, observation, wasSaturated, now);
        m_running.erase(found);
    }
    startWaiting(now, release);
    updateLevel(now);
    return release;
}

bool AdaptiveGate::withdraw(const ExecutionId execution)
{
    return m_queue.remove(execution);
}

GateRelease AdaptiveGate::tick(const SteadyTime now)
{
    GateRelease release;
    refuseUnmeetable(now, release);
    startWaiting(now, release);
    shedExcess(nullptr, now, release);
    shedOverdue(now, release);
    updateLevel(now);
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

void AdaptiveGate::setRateLimit(const std::optional<double> perSecond, const SteadyTime now)
{
    m_rateLimit.set(perSecond, now);
}

LoadReport AdaptiveGate::load(const SteadyTime now) const
{
    LoadReport report;
    report.inFlight = static_cast<int>(m_running.size());
    report.limit = wholeUsableSlots();
    report.queued = static_cast<int>(m_queue.size());
    report.level = m_level.level();
    report.queueDelay = now - m_queue.oldestArrival(now);
    return report;
}

std::vector<account::Figure> AdaptiveGate::levelFigures(const SteadyTime now) const
{
    return {{.name = "queueDrainMs", .value = internal::millisecondsOf(drainTime())},
            {.name = "aimedDrainMs", .value = internal::millisecondsOf(targetDrainTime())},
            {.name = "meanHeldMs", .value = internal::millisecondsOf(m_meanHeld)},
            {.name = "admittedDemand", .value = m_level.admittedDemand(now)},
            {.name = "shed", .value = m_level.shedRate(now)}};
}

std::optional<GateRefusal> AdaptiveGate::refusalIfUnmeetable(const Ticket &ticket, const SteadyTime now) const
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

void AdaptiveGate::refuseUnmeetable(const SteadyTime now, GateRelease &release)
{
    static_cast<void>(m_queue.removeIf([this, now, &release](const QueuedRequest &waiting) {
        std::optional<GateRefusal> refusal = refusalIfUnmeetable(waiting.ticket, now);
        if (!refusal.has_value()) {
            return false;
        }
        release.refused.push_back(std::move(*refusal));
        return true;
    }));
}

void AdaptiveGate::startWaiting(const SteadyTime now, GateRelease &release)
{
    while (!m_queue.empty() && static_cast<int>(m_running.size()) < m_limit.value() && m_rateLimit.mayStart(now)) {
        // Under overload the oldest requests are the likeliest to be abandoned by their callers before they complete. Where
        // inner calls are kept, the oldest request has the most invested slot time to lose.
        const bool isUnderPressure = !m_rules.keepsInnerCalls && drainTime() > targetDrainTime();
        const QueuedRequest next = m_queue.popMostValuable(isUnderPressure);
        const Ticket &ticket = next.ticket;
        if (std::optional<GateRefusal> refusal = refusalIfUnmeetable(ticket, now)) {
            release.refused.push_back(std::move(*refusal));
            continue;
        }
        m_rateLimit.noteStart();
        m_running.emplace(ticket.execution, Running{.kind = ticket.kind, .cost = ticket.cost});
        release.started.push_back(ticket.execution);
    }
}

void AdaptiveGate::shedExcess(const Ticket *const arrived, const SteadyTime now, GateRelease &release)
{
    while (const QueuedRequest *const next = nextToShed()) {
        const QueuedRequest shed = *next;
        m_queue.remove(shed.ticket.execution);
        const bool hasJustArrived = arrived != nullptr && shed.ticket.execution == arrived->execution;
        m_level.noteShed(shed.ticket, shed.expected, now);
        release.refused.push_back(refusalOf(shed, hasJustArrived, now));
    }
}

const QueuedRequest *AdaptiveGate::nextToShed() const
{
    if (m_queue.size() <= 1) {
        return nullptr;
    }
    if (!m_rules.keepsInnerCalls) {
        const QueuedRequest &leastValuable = m_queue.leastValuable();
        return drainTime() > maxDrainTime(leastValuable.ticket) ? &leastValuable : nullptr;
    }
    // Requests queued behind a root do not delay it, so only the work up to it counts.
    const QueuedRequest *const root = m_queue.leastValuableRoot();
    const bool isTooLong = root != nullptr && drainTimeOf(m_queue.workUpTo(root->ticket)) > maxDrainTime(root->ticket);
    return isTooLong ? root : nullptr;
}

void AdaptiveGate::shedOverdue(const SteadyTime now, GateRelease &release)
{
    const SteadyTime latest = now - internal::maxWaitFactor * targetDrainTime();
    for (const QueuedRequest &overdue : m_queue.removeIf([this, latest](const QueuedRequest &waiting) {
             return waiting.ticket.arrived < latest && !(m_rules.keepsInnerCalls && waiting.ticket.isInner);
         })) {
        m_level.noteShed(overdue.ticket, overdue.expected, now);
        release.refused.push_back(refusalOf(overdue, false, now));
    }
}

GateRefusal AdaptiveGate::refusalOf(const QueuedRequest &waiting, const bool hasJustArrived, const SteadyTime now) const
{
    const Ticket &ticket = waiting.ticket;
    // A limit of one server says nothing about the others, so a request that waited here moves on to another one, too.
    const bool isLimited = m_rateLimit.perSecond().has_value();
    const char *const rule = hasJustArrived ? "the queue is full of requests that go first" : "gave way in the queue to requests that go first";
    return {
        .execution = ticket.execution,
        .reason = hasJustArrived || isLimited ? account::RefusalReason::overloadAtServer : account::RefusalReason::overloadInQueue,
        .rule = isLimited ? "the rate that the backend server named is used up" : rule,
        .figures = {{.name = "priority", .value = static_cast<double>(ticket.rankClass.priority)},
                    {.name = "densityClass", .value = static_cast<double>(ticket.rankClass.density)},
                    {.name = "waitedMs", .value = internal::millisecondsOf(now - ticket.arrived)},
                    {.name = "queued", .value = static_cast<double>(m_queue.size() + 1)},
                    {.name = "queueDrainMs", .value = internal::millisecondsOf(drainTime())},
                    {.name = "queueDrainLimitMs", .value = internal::millisecondsOf(maxDrainTime(ticket))},
                    {.name = "running", .value = static_cast<double>(m_running.size())},
                    {.name = "limit", .value = static_cast<double>(m_limit.value())}},
        .retryAfter = retryAfter(ticket),
    };
}

std::chrono::milliseconds AdaptiveGate::retryAfter(const Ticket &ticket) const
{
    const auto drain = std::chrono::duration_cast<std::chrono::milliseconds>(drainTime());
    const bool isBelow = !admits(m_level.level(), ticket.rankClass, ticket.root);
    return std::max(isBelow ? internal::retryAfterBelowLevel : internal::minRetryAfter, drain);
}

double AdaptiveGate::usableSlots() const
{
    const double slots = std::max(1, m_limit.value());
    if (!m_rateLimit.perSecond().has_value() || m_meanHeld <= Duration{}) {
        return slots;
    }
    // Runs that start at the limit and last as long as usual occupy this many slots.
    const double occupied = *m_rateLimit.perSecond() * std::chrono::duration<double>(m_meanHeld).count();
    return std::min(slots, std::max(occupied, internal::minUsableSlots));
}

int AdaptiveGate::wholeUsableSlots() const
{
    return m_rateLimit.perSecond().has_value() ? std::max(1, static_cast<int>(usableSlots())) : m_limit.value();
}

Duration AdaptiveGate::drainTimeOf(const Duration work) const
{
    return std::chrono::duration_cast<Duration>(work / usableSlots());
}

Duration AdaptiveGate::drainTime() const
{
    return drainTimeOf(m_queue.work());
}

Duration AdaptiveGate::targetDrainTime() const
{
    return std::max<Duration>({m_queueTarget, m_meanHeld / internal::minDrainTargetDivisor, m_rules.minDrainTarget});
}

Duration AdaptiveGate::maxDrainTime(const Ticket &ticket) const
{
    return targetDrainTime() * (ticket.isInner ? internal::innerQueueFactor : internal::rootQueueFactor);
}

void AdaptiveGate::noteRunEnd(const Running &running, const Observation &observation, const bool wasSaturated, const SteadyTime now)
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

void AdaptiveGate::updateLevel(const SteadyTime now)
{
    m_level.update({.queue = m_queue, .target = targetDrainTime(), .limit = wholeUsableSlots()}, now);
}

} // namespace egretlatch::admission
