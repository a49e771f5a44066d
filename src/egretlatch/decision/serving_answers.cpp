// The part of ServingHandler that answers requesters, with or without a run.

#include <egretlatch/decision/serving_handler.hpp>

#include <egretlatch/retry/verdict_rules.hpp>

namespace egretlatch::decision
{

namespace internal
{

// Call chains change only with releases, so reporting one with each answer would waste bandwidth.
constexpr std::uint64_t answersPerChainReport = 8;

} // namespace internal

void ServingHandler::answer(const ExecutionId execution, protocol::CallAnswer answer, const SteadyTime now)
{
    const auto found = m_attempts.find(execution);
    const Attempt &attempt = found->second;
    answer.attemptsReturned = attempt.attemptsLeft;
    const bool isChainDue = m_answers++ % internal::answersPerChainReport == 0;
    if (isChainDue || attempt.request.wantsChain) {
        answer.chain = m_context.entryControl->learnedChain({attempt.request.service, attempt.request.kind});
    }
    answer.performance = m_performanceMeter.performanceOf(attempt.request.kind, now);
    answer.slotTime = attempt.innerSlotTime;
    answer.hasFailedBelow = attempt.hasFailedBelow;
    if (attempt.started.has_value()) {
        answer.slotTime += now - *attempt.started;
    } else {
        --m_waiting;
    }
    recordSpan(attempt, answer, now);
    const Origin origin = attempt.origin;
    m_byOrigin.erase(origin);
    const auto named = m_byName.find(attempt.request.requestName);
    if (named != m_byName.end() && named->second == execution) {
        m_byName.erase(named);
    }
    m_attempts.erase(found);
    send(origin, std::move(answer), now);
}

void ServingHandler::refuse(const ExecutionId execution, const admission::GateRefusal &refusal, const SteadyTime now)
{
    protocol::CallAnswer refused;
    refused.verdict = retry::verdictOf(retry::AttemptEnd::removedFromQueue);
    refused.refusal = m_context.refuse(refusal.reason, refusal.rule, refusal.figures, refusal.retryAfter);
    refused.status = account::httpStatus(refusal.reason);
    answer(execution, std::move(refused), now);
}

void ServingHandler::refuseImmediately(const Origin &origin, const protocol::CallRequest &request, const admission::GateRefusal &refusal, const SteadyTime now)
{
    protocol::CallAnswer refused;
    refused.verdict = retry::verdictOf(retry::AttemptEnd::refusedOnArrival);
    refused.refusal = m_context.refuse(refusal.reason, refusal.rule, refusal.figures, refusal.retryAfter);
    refused.status = account::httpStatus(refusal.reason);
    refused.attemptsReturned = request.attemptsLent;
    send(origin, std::move(refused), now);
}

void ServingHandler::refuseWrongIncarnation(const Origin &origin, const SteadyTime now)
{
    protocol::CallAnswer refused;
    const bool isDeliveredOnce = m_context.delivery == Delivery::oneIncarnation;
    refused.verdict = retry::verdictOf(isDeliveredOnce ? retry::AttemptEnd::missedEarlierIncarnation : retry::AttemptEnd::meantForEarlierIncarnation);
    refused.refusal = m_context.refuse(account::RefusalReason::serverLost, "the request was meant for an earlier life of this daemon");
    refused.status = account::httpStatus(refused.refusal->reason);
    send(origin, std::move(refused), now);
}

void ServingHandler::send(const Origin &origin, protocol::CallAnswer answer, const SteadyTime now)
{
    const auto &[daemon, incarnation, call] = origin;
    answer.call = call;
    answer.receiver = incarnation;
    answer.load = load(now);
    for (const admission::ServiceLevelReport &report : m_context.entryControl->downstreamLevels(m_context.roster.self().service, now)) {
        answer.levels.push_back({.service = report.service, .level = report.reported.level, .age = now - report.reported.at});
    }
    // The answer returns on the connection that the request arrived on, so no endpoint is needed.
    m_context.actions.emplace_back(SendToPeer{.to = daemon, .endpoint = {}, .message = std::move(answer)});
}

void ServingHandler::recordSpan(const Attempt &attempt, const protocol::CallAnswer &answer, const SteadyTime now)
{
    if (!attempt.trace.sampled) {
        return;
    }
    account::Span span;
    span.context = attempt.trace;
    span.parentSpanId = attempt.request.trace.spanId;
    span.hop = account::Hop::serving;
    span.service = attempt.request.service;
    span.kind = attempt.request.kind;
    span.started = attempt.arrived;
    span.ended = now;
    span.verdict = answer.verdict;
    span.status = answer.status;
    if (answer.refusal.has_value()) {
        span.refusal = answer.refusal->reason;
    }
    m_context.actions.emplace_back(RecordSpan{.span = std::move(span)});
}

} // namespace egretlatch::decision
