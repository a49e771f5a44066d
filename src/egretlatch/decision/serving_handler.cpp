#include <egretlatch/decision/serving_handler.hpp>

#include <algorithm>

#include <egretlatch/core/message_bytes.hpp>
#include <egretlatch/retry/verdict_rules.hpp>

namespace egretlatch::decision
{

namespace internal
{

constexpr int firstServerError = 500;

[[nodiscard]] static admission::RunOutcome outcomeOf(const std::variant<RunAnswer, RunFailure> &result)
{
    if (const auto *const answer = std::get_if<RunAnswer>(&result)) {
        return answer->status >= firstServerError ? admission::RunOutcome::failed : admission::RunOutcome::succeeded;
    }
    return std::get<RunFailure>(result) == RunFailure::rejected ? admission::RunOutcome::rejected : admission::RunOutcome::lost;
}

[[nodiscard]] static std::string ruleOf(const account::RefusalReason reason)
{
    if (reason == account::RefusalReason::quarantined) {
        return std::string{quarantineRule};
    }
    return reason == account::RefusalReason::draining ? "the backend server is leaving" : "nobody waits for the answer any more";
}

[[nodiscard]] static protocol::CallAnswer answerOf(const std::variant<RunAnswer, RunFailure> &result, CoreContext &context)
{
    protocol::CallAnswer answer;
    if (const auto *const runAnswer = std::get_if<RunAnswer>(&result)) {
        answer.verdict = retry::verdictOf(retry::AttemptEnd::answered);
        answer.status = runAnswer->status;
        answer.headers = runAnswer->headers;
        answer.body = runAnswer->body;
        return answer;
    }
    switch (std::get<RunFailure>(result)) {
    case RunFailure::notConnected:
        answer.verdict = retry::verdictOf(retry::AttemptEnd::notConnected);
        answer.refusal = context.refuse(account::RefusalReason::serverLost, "the backend server took no connection");
        break;
    case RunFailure::rejected:
        answer.hasReachedServer = true;
        answer.verdict = retry::verdictOf(retry::AttemptEnd::rejectedByServer);
        answer.refusal = context.refuse(account::RefusalReason::overloadAtServer, "the backend server said that it did not start the request");
        break;
    case RunFailure::lost:
        answer.hasReachedServer = true;
        answer.verdict = retry::verdictOf(retry::AttemptEnd::connectionLost);
        answer.refusal = context.refuse(account::RefusalReason::serverLost, "the connection to the backend server was lost before it answered");
        break;
    }
    answer.status = account::httpStatus(answer.refusal->reason);
    return answer;
}

} // namespace internal

ServingHandler::ServingHandler(CoreContext &context, std::unique_ptr<admission::Gate> gate)
    : m_context{context}
    , m_gate{std::move(gate)}
{
}

void ServingHandler::handleRequest(const DaemonId &from, const Incarnation incarnation, const protocol::CallRequest &request, const SteadyTime now)
{
    const Origin origin{from, incarnation, request.call};
    // A daemon restarted under the same id receives messages that its peers' transport still held for its previous
    // incarnation, which may already have run the same request. A request names its receiving incarnation, and no other one
    // runs it.
    if (request.receiver != m_context.incarnation) {
        refuseWrongIncarnation(origin, now);
        return;
    }
    // A message delivered twice would start a request twice, or start one that was refused as not run. A duplicate has the
    // same call id and incarnation, while a retry has a new call id. The check precedes all refusals: a refused call id must
    // not be used again.
    if (!m_window.accept(from, incarnation, request.call)) {
        m_context.metrics.count("messages_dropped", "duplicate-request");
        return;
    }
    if (!m_hasServer) {
        refuseImmediately(origin,
                          request,
                          {.execution = {}, .reason = account::RefusalReason::noServer, .rule = "no backend server is here", .figures = {}, .retryAfter = {}},
                          now);
        return;
    }
    if (m_isDraining) {
        refuseImmediately(
            origin,
            request,
            {.execution = {}, .reason = account::RefusalReason::draining, .rule = "the backend server is leaving", .figures = {}, .retryAfter = {}},
            now);
        return;
    }
    const admission::Suspicion suspicion = suspicionOf(from, request, now);
    if (const std::optional<std::chrono::milliseconds> retryAfter = checkQuarantine(from, request, suspicion)) {
        refuseImmediately(origin,
                          request,
                          {.execution = {}, .reason = account::RefusalReason::quarantined, .rule = quarantineRule, .figures = {}, .retryAfter = *retryAfter},
                          now);
        return;
    }
    if (const std::optional<admission::EntryRefusal> refusal = checkForEntry(request, now)) {
        refuseImmediately(origin,
                          request,
                          {.execution = {}, .reason = refusal->reason, .rule = refusal->rule, .figures = refusal->figures, .retryAfter = refusal->retryAfter},
                          now);
        return;
    }
    const ExecutionId execution{++m_lastExecution};
    Attempt attempt;
    attempt.origin = origin;
    attempt.request = request;
    if (!request.trace.traceId.empty()) {
        attempt.trace = account::childOf(request.trace, m_context.random);
    }
    attempt.arrived = now;
    attempt.deadline = now + request.remaining;
    attempt.attemptsLeft = request.attemptsLent;
    attempt.isTrial = suspicion == admission::Suspicion::onTrial;
    const admission::Ticket ticket = ticketOf(execution, attempt);
    m_byOrigin.emplace(origin, execution);
    if (!attempt.request.requestName.empty()) {
        m_byName.insert_or_assign(attempt.request.requestName, execution);
    }
    m_attempts.emplace(execution, std::move(attempt));
    ++m_waiting;
    apply(m_gate->offer(ticket, now), now);
}

std::optional<admission::EntryRefusal> ServingHandler::checkForEntry(const protocol::CallRequest &request, const SteadyTime now)
{
    // An entry daemon that has just started does not know which services a root leads to and admits it. The first serving daemon does
    // know, and nothing has run yet.
    if (request.depth > 0 || !request.wantsChain) {
        return std::nullopt;
    }
    return m_context.entryControl->check({.service = request.service, .kind = request.kind, .root = request.root, .rank = request.rank}, now);
}

admission::Ticket ServingHandler::ticketOf(const ExecutionId execution, const Attempt &attempt) const
{
    const protocol::CallRequest &request = attempt.request;
    const manifest::KindSpec *const kind = m_context.findKind(request.service, request.kind);
    return {
        .execution = execution,
        .root = request.root,
        .kind = request.kind,
        .cost = kind == nullptr ? Duration{} : Duration{kind->cost},
        .rankClass = m_context.entryControl->classAt(request.service, request.kind, request.rank, request.rootCosts),
        .invested = request.rank.invested,
        .isInner = request.depth > 0,
        .arrived = attempt.arrived,
        .deadline = attempt.deadline,
    };
}

void ServingHandler::handleCancel(const DaemonId &from, const Incarnation incarnation, const CallId call, const SteadyTime now)
{
    const auto found = m_byOrigin.find({from, incarnation, call});
    if (found == m_byOrigin.end()) {
        m_context.metrics.count("messages_dropped", "late-cancel");
        return;
    }
    abandon(found->second, account::RefusalReason::cancelled, now);
}

void ServingHandler::handleRunEnded(const RunEnded &ended, const SteadyTime now)
{
    const auto found = m_attempts.find(ended.execution);
    if (found == m_attempts.end() || !found->second.started.has_value()) {
        m_context.metrics.count("messages_dropped", "late-run-end");
        return;
    }
    Attempt &attempt = found->second;
    const admission::Observation observation{
        .outcome = internal::outcomeOf(ended.result),
        .latency = now - *attempt.started,
        .waitedForInner = attempt.innerWait,
    };
    m_lastRunEnd = now;
    m_context.metrics.observe("run_duration", attempt.request.service, observation.latency);
    recordOutcome(attempt, ended, now);
    if (ended.notice.has_value()) {
        noteNotice(attempt, *ended.notice, now);
    }
    detectCrash(attempt, ended, now);
    const admission::GateRelease release = m_gate->finish(ended.execution, observation, now);
    answer(ended.execution, internal::answerOf(ended.result, m_context), now);
    apply(release, now);
}

void ServingHandler::tick(const SteadyTime now)
{
    apply(m_gate->tick(now), now);
    abandonExpired(now);
}

void ServingHandler::setServer(const int slots)
{
    m_hasServer = slots > 0;
    m_isDraining = false;
    if (m_hasServer) {
        m_gate->setSlots(slots);
    }
}

void ServingHandler::setService(const manifest::ServiceSpec &service)
{
    m_gate->setQueueTarget(service.queueTarget);
}

void ServingHandler::drain()
{
    m_isDraining = true;
}

void ServingHandler::refuseWaiting(const SteadyTime now)
{
    std::vector<ExecutionId> waiting;
    for (const auto &[execution, attempt] : m_attempts) {
        if (!attempt.started.has_value()) {
            waiting.push_back(execution);
        }
    }
    for (const ExecutionId execution : waiting) {
        // Removing one may cause the gate to start or refuse another one of the list.
        const auto found = m_attempts.find(execution);
        if (found != m_attempts.end() && !found->second.started.has_value()) {
            abandon(execution, account::RefusalReason::draining, now);
        }
    }
}

void ServingHandler::recordOutcome(const Attempt &attempt, const RunEnded &ended, const SteadyTime now)
{
    const admission::RunOutcome outcome = internal::outcomeOf(ended.result);
    if (outcome != admission::RunOutcome::succeeded && !attempt.hasFailedBelow) {
        m_performanceMeter.noteFailed(attempt.request.kind, now);
    }
    // A failed run may have ended before making all its calls.
    if (outcome == admission::RunOutcome::succeeded) {
        m_performanceMeter.noteCompleted(attempt.request.kind, now - *attempt.started - attempt.innerWait, now);
        m_context.entryControl->noteRun({
            .kind = {attempt.request.service, attempt.request.kind},
            .calls = attempt.innerCalls,
            .held = now - *attempt.started,
        });
    }
}

admission::LoadReport ServingHandler::load(const SteadyTime now) const
{
    admission::LoadReport report = m_gate->load(now);
    report.draining = m_isDraining;
    return report;
}

void ServingHandler::apply(const admission::GateRelease &release, const SteadyTime now)
{
    for (const admission::GateRefusal &refusal : release.refused) {
        refuse(refusal.execution, refusal, now);
    }
    for (const ExecutionId execution : release.started) {
        start(execution, now);
    }
}

void ServingHandler::start(const ExecutionId execution, const SteadyTime now)
{
    Attempt &attempt = m_attempts.at(execution);
    attempt.started = now;
    --m_waiting;
    const protocol::CallRequest &request = attempt.request;
    m_context.metrics.observe("queue_delay", request.service, now - attempt.arrived);
    m_context.actions.emplace_back(StartRun{
        .execution = execution,
        .request = {.method = request.method,
                    .path = request.path,
                    .headers = request.headers,
                    .body = request.body,
                    .kind = request.kind,
                    .remaining = attempt.deadline - now,
                    .runToken = tokenOf(execution),
                    .account = request.account,
                    .key = request.key,
                    .trace = attempt.trace},
    });
    if (isLongBody(request.body)) {
        attempt.identity = identityOf(attempt);
        attempt.request.body.clear();
    }
}

void ServingHandler::abandonExpired(const SteadyTime now)
{
    std::vector<ExecutionId> expired;
    for (const auto &[execution, attempt] : m_attempts) {
        if (attempt.deadline <= now) {
            expired.push_back(execution);
        }
    }
    for (const ExecutionId execution : expired) {
        // Abandoning one frees its slot, and the gate may then refuse another one of the list, which is already removed here.
        if (m_attempts.contains(execution)) {
            abandon(execution, account::RefusalReason::deadlinePassed, now);
        }
    }
}

void ServingHandler::abandon(const ExecutionId execution, const account::RefusalReason reason, const SteadyTime now)
{
    const Attempt &attempt = m_attempts.at(execution);
    protocol::CallAnswer abandoned;
    const bool isQuarantined = reason == account::RefusalReason::quarantined;
    abandoned.refusal = m_context.refuse(reason, internal::ruleOf(reason), {}, isQuarantined ? retryAfterQuarantine : std::chrono::milliseconds{});
    abandoned.status = account::httpStatus(abandoned.refusal->reason);
    if (!attempt.started.has_value()) {
        abandoned.verdict = retry::verdictOf(m_gate->withdraw(execution) ? retry::AttemptEnd::removedFromQueue : retry::AttemptEnd::aborted);
        answer(execution, std::move(abandoned), now);
        return;
    }
    abandoned.verdict = retry::verdictOf(retry::AttemptEnd::aborted);
    noteUnanswered(attempt, now);
    m_lastRunEnd = now;
    m_performanceMeter.noteAbandoned(attempt.request.kind, now - *attempt.started - attempt.innerWait, now);
    m_context.actions.emplace_back(AbortRun{.execution = execution});
    const admission::Observation observation{
        .outcome = admission::RunOutcome::abandoned, .latency = now - *attempt.started, .waitedForInner = attempt.innerWait};
    const admission::GateRelease release = m_gate->finish(execution, observation, now);
    answer(execution, std::move(abandoned), now);
    apply(release, now);
}

} // namespace egretlatch::decision
