// The part of EntryHandler that checks and admits calls as they arrive.

#include <egretlatch/decision/entry_handler.hpp>

#include <algorithm>

#include <fmt/format.h>

namespace egretlatch::decision
{

namespace internal
{

constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int notFound = 404;

} // namespace internal

std::optional<std::string> EntryHandler::findRequestError(const CallerCall &call, const bool isInner) const
{
    const manifest::KindSpec *const kind = m_context.manifest->findKind(call.service, call.kind);
    const bool isKeyNeeded = m_context.unownedKeys != retry::UnownedKeys::notNeeded;
    if (isKeyNeeded && !kind->idempotent && call.key.empty() && !isInner) {
        return fmt::format("{}/{} is not idempotent: an Idempotency-Key header is required", call.service, call.kind);
    }
    if (!retry::isUsableKey(call.key)) {
        return "an Idempotency-Key has at most 255 printable characters without spaces";
    }
    if (call.timeout.has_value() && call.timeout->count() <= 0) {
        return "Request-Timeout-Ms is a whole number above zero";
    }
    return std::nullopt;
}

void EntryHandler::answerRequestError(const ExchangeId exchange, const CallerCall &call, const int status, std::string requestError)
{
    CallerAnswer answer;
    // An earlier attempt with the key may have run at a daemon that did not consider or detect this as an error.
    answer.verdict = retry::verdictBeforeLookup(call.key);
    answer.status = status;
    answer.service = call.service;
    answer.kind = call.kind;
    answer.requestError = std::move(requestError);
    m_context.actions.emplace_back(AnswerCaller{exchange, std::move(answer)});
}

void EntryHandler::handleArrived(const CallArrived &arrived, const SteadyTime now)
{
    const CallerCall &call = arrived.call;
    const manifest::KindSpec *const kind = m_context.findKind(call.service, call.kind);
    if (kind == nullptr) {
        answerRequestError(arrived.exchange, call, internal::notFound, fmt::format("no service and kind {}/{} is declared", call.service, call.kind));
        return;
    }
    if (const std::optional<std::string> requestError = findRequestError(call, !call.runToken.empty())) {
        answerRequestError(arrived.exchange, call, internal::badRequest, *requestError);
        return;
    }
    std::optional<InnerContext> inner;
    if (!call.runToken.empty()) {
        inner = m_serving.findRun(call.runToken);
        if (!inner.has_value()) {
            answerRequestError(arrived.exchange, call, internal::badRequest, "Egretlatch-Call names no run that is running here; it may have been cancelled");
            return;
        }
    }
    if (!call.parentName.empty()) {
        inner = m_serving.findRunNamed(call.parentName);
    }
    const AccountDecision decision = m_accounts == nullptr ? AccountDecision{} : m_accounts->check(call, *kind, inner.has_value(), now);
    if (decision.isUnauthorized) {
        refuseKey(arrived);
        return;
    }
    if (inner.has_value()) {
        m_serving.noteInnerBegan(inner->execution, {call.service, call.kind});
    }
    Pending pending = begin(arrived, *kind, inner, now);
    std::optional<account::Refusal> refusal = inner.has_value() ? std::nullopt : applyAccount(pending, decision, now);
    if (refusal.has_value()) {
        finishRefused(std::move(pending), std::move(*refusal), now);
        return;
    }
    if (!kind->idempotent && m_context.unownedKeys != retry::UnownedKeys::notNeeded) {
        findOwner(std::move(pending), inner, now);
        return;
    }
    admit(std::move(pending), now);
}

std::optional<account::Refusal> EntryHandler::applyAccount(Pending &pending, const AccountDecision &decision, const SteadyTime now)
{
    if (m_accounts == nullptr || decision.refusal.has_value()) {
        return decision.refusal;
    }
    pending.rank.priority = m_accounts->priorityOf(decision.account, pending.rank.priority, pending.root);
    if (decision.account == nullptr) {
        return std::nullopt;
    }
    pending.call.account = decision.account->name;
    std::optional<account::Refusal> refusal = m_accounts->checkQuota(*decision.account, pending.root, now);
    pending.usesQuota = !refusal.has_value();
    return refusal;
}

void EntryHandler::refuseKey(const CallArrived &arrived)
{
    const CallerCall &call = arrived.call;
    const std::string error = call.apiKeyDigest.empty() ? "an API key is required" : "no client account holds this API key";
    m_context.metrics.count("refusals", "unauthorized");
    m_context.actions.emplace_back(LogRequest{
        .event = "API key refused", .requestName = call.requestName, .service = call.service, .kind = call.kind, .server = {}, .reason = error, .elapsed = {}});
    answerRequestError(arrived.exchange, call, internal::unauthorized, error);
}

void EntryHandler::admit(Pending pending, const SteadyTime now)
{
    // No other daemon runs a key that this one owns, so while it shuts down it still admits calls with such keys.
    if (m_isDraining && pending.depth == 0 && !pending.holdsKey) {
        finishRefused(std::move(pending), m_context.refuse(account::RefusalReason::draining, "the entry daemon is leaving"), now);
        return;
    }
    const admission::Suspicion suspicion = suspicionOf(pending, now);
    if (suspicion == admission::Suspicion::quarantined) {
        finishQuarantined(std::move(pending), retryAfterQuarantine, now);
        return;
    }
    if (pending.depth == 0) {
        const admission::EntryRequest request{.service = pending.call.service, .kind = pending.call.kind, .root = pending.root, .rank = pending.rank};
        if (auto refusal = m_context.entryControl->check(request, now)) {
            if (m_accounts != nullptr) {
                m_accounts->noteOverload();
            }
            finishRefused(std::move(pending), m_context.refuse(refusal->reason, refusal->rule, refusal->figures, refusal->retryAfter), now);
            return;
        }
    }
    // Runs of the same content side by side could crash a server each before the first crash is known.
    if (suspicion == admission::Suspicion::onTrial && !beginTrial(pending)) {
        finishQuarantined(std::move(pending), retryAfterTrial, now);
        return;
    }
    if (const manifest::ServiceSpec *const service = m_context.manifest->findService(pending.call.service)) {
        if (pending.isCallerRepeat) {
            m_retryBudget.charge(service->name);
        } else {
            m_retryBudget.noteFirstAttempt(service->name, service->retryRatio);
        }
    }
    makeAttempt(std::move(pending), now);
}

EntryHandler::Pending
EntryHandler::begin(const CallArrived &arrived, const manifest::KindSpec &kind, const std::optional<InnerContext> &inner, const SteadyTime now)
{
    const CallerCall &call = arrived.call;
    Pending pending;
    pending.requester = arrived.exchange;
    pending.call = call;
    pending.idempotent = kind.idempotent;
    // The key owner of an idempotent kind is not consulted, so nothing is known about other attempts with the key.
    pending.knowledge = call.key.empty() ? retry::KeyKnowledge::noKey : retry::KeyKnowledge::none;
    pending.arrived = now;
    pending.deadline = now + call.timeout.value_or(kind.deadline);
    if (inner.has_value()) {
        pending.root = inner->root;
        pending.rank = inner->rank;
        pending.rootCosts = inner->rootCosts;
        pending.depth = inner->depth + 1;
        pending.isCallerRepeat = inner->isRepeat;
        pending.parent = inner->execution;
        pending.deadline = std::min(pending.deadline, inner->deadline);
        pending.attemptsLeft = m_serving.lendAttempts(inner->execution);
        if (m_rules.countsOnlyArrivals) {
            pending.attemptsLeft = kind.retryBudget;
        } else {
            pending.scope = innerScope(*inner, call);
        }
        if (m_rules.traces) {
            pending.parentSpanId = inner->trace.spanId;
            pending.trace = account::childOf(inner->trace, m_context.random);
        }
        return pending;
    }
    pending.root = m_context.uuidGenerator.generate(m_context.clock.wallNow());
    pending.rank = m_context.entryControl->rankOf(call.service, call.kind);
    pending.rootCosts = m_context.entryControl->costsOf(call.service, call.kind);
    pending.attemptsLeft = kind.retryBudget;
    if (m_context.unownedKeys != retry::UnownedKeys::notNeeded) {
        const retry::KeyOwner self{.daemon = m_context.self, .incarnation = m_context.incarnation};
        pending.scope = retry::RequestKey::mint(self, ageOf(now), m_context.random).text();
    }
    if (!m_rules.traces) {
        return pending;
    }
    const account::TraceContext parentTrace = call.trace.value_or(account::startTrace(m_context.random));
    pending.parentSpanId = call.trace.has_value() ? parentTrace.spanId : std::string{};
    pending.trace = account::childOf(parentTrace, m_context.random);
    return pending;
}

} // namespace egretlatch::decision
