#include <egretlatch/decision/entry_handler.hpp>

#include <algorithm>
#include <vector>

#include <fmt/format.h>

namespace egretlatch::decision
{

namespace internal
{

constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int notFound = 404;
constexpr int firstServerError = 500;

[[nodiscard]] static CallerAnswer callerAnswerOf(const protocol::CallAnswer &answer)
{
    CallerAnswer callerAnswer;
    callerAnswer.verdict = answer.verdict;
    callerAnswer.status = answer.status;
    callerAnswer.headers = answer.headers;
    callerAnswer.body = answer.body;
    return callerAnswer;
}

[[nodiscard]] static routing::AttemptOutcome outcomeOf(const protocol::CallAnswer &answer)
{
    if (!answer.refusal.has_value()) {
        return answer.status >= firstServerError ? routing::AttemptOutcome::failed : routing::AttemptOutcome::answered;
    }
    if (answer.hasReachedServer) {
        // The server itself rejected the request although its daemon had a free slot: a failure of that server.
        return routing::AttemptOutcome::failed;
    }
    return answer.refusal->reason == account::RefusalReason::serverLost ? routing::AttemptOutcome::lost : routing::AttemptOutcome::refused;
}

} // namespace internal

EntryHandler::EntryHandler(CoreContext &context, ServingHandler &serving, const retry::KeyLedgerLimits ledgerLimits, std::unique_ptr<retry::ShardGrants> grants)
    : m_context{context}
    , m_serving{serving}
    , m_ledger{ledgerLimits}
    , m_grantedLedger{ledgerLimits}
    , m_grants{std::move(grants)}
{
}

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

void EntryHandler::addPending(const CallId call, Pending pending, const SteadyTime wakeAt)
{
    pending.wakeAt = wakeAt;
    if (const auto *const exchange = std::get_if<ExchangeId>(&pending.requester)) {
        m_byExchange[*exchange] = call;
    }
    m_wakes.emplace(wakeAt, call);
    m_pending.emplace(call, std::move(pending));
}

void EntryHandler::handleCallerGone(const ExchangeId exchange, const SteadyTime now)
{
    const auto found = m_byExchange.find(exchange);
    if (found == m_byExchange.end()) {
        return;
    }
    const auto pending = m_pending.find(found->second);
    // A run with a key continues without its caller: aborted, it would end as may-have-run, and the caller's expected resend
    // could not be answered with its result.
    if (pending->second.holdsKey) {
        m_byExchange.erase(found);
        return;
    }
    giveUp(pending, account::RefusalReason::cancelled, "the caller closed its connection", now);
}

void EntryHandler::cancelInnerCalls(const ExecutionId run, const SteadyTime now)
{
    std::vector<ExchangeId> exchanges;
    for (const auto &[exchange, call] : m_byExchange) {
        if (m_pending.at(call).parent == run) {
            exchanges.push_back(exchange);
        }
    }
    for (const ExchangeId exchange : exchanges) {
        handleCallerGone(exchange, now);
    }
}

void EntryHandler::handleAnswer(const DaemonId &from, const protocol::CallAnswer &answer, const SteadyTime now)
{
    // An answer can arrive late, twice, from another daemon or for a previous incarnation of this one. Matched to a newer call
    // it would give one caller another caller's answer. Call ids are unique within an incarnation, and each answer is expected
    // from one daemon only, so all three must match.
    const auto found = m_pending.find(answer.call);
    const bool isExpected = found != m_pending.end() && (found->second.phase == Phase::attempting || found->second.phase == Phase::forwarded);
    if (answer.receiver != m_context.incarnation || !isExpected || found->second.server != from) {
        m_context.metrics.count("messages_dropped", "late-answer");
        return;
    }
    Pending pending = removePending(found);
    const int returned = std::clamp(answer.attemptsReturned, 0, pending.attemptsOut);
    pending.attemptsLeft = pending.phase == Phase::forwarded ? returned : pending.attemptsLeft + returned;
    pending.slotTime += answer.slotTime;
    if (pending.phase == Phase::forwarded) {
        handleOwnerAnswer(std::move(pending), answer, now);
        return;
    }
    endAttempt(pending,
               {.outcome = internal::outcomeOf(answer),
                .kind = pending.call.kind,
                .latency = now - pending.sentAt,
                .bytes = static_cast<std::size_t>(answer.body.size()),
                .load = answer.load},
               &answer,
               now);
    if (mayTryElsewhere(pending, answer, now)) {
        logEvent("sent again", pending, answer, now);
        --pending.attemptsLeft;
        pending.isRepeat = true;
        m_context.metrics.count("retries", pending.call.service);
        makeAttempt(std::move(pending), now);
        return;
    }
    if (answer.verdict == Verdict::completed) {
        finish(std::move(pending), internal::callerAnswerOf(answer), now);
        return;
    }
    pending.verdict = retry::combine(pending.verdict, answer.verdict);
    const bool isLostAtServer = answer.hasReachedServer && answer.verdict == Verdict::mayHaveRun;
    pending.lostRuns += isLostAtServer ? 1 : 0;
    if (suspicionOf(pending, now) == admission::Suspicion::quarantined) {
        finishQuarantined(std::move(pending), retryAfterQuarantine, now);
        return;
    }
    if (mayMoveOn(pending, answer, now)) {
        m_context.metrics.count("moves", pending.call.service);
        logEvent("moved on", pending, answer, now);
        makeAttempt(std::move(pending), now);
        return;
    }
    if (mayRetry(pending, answer, now)) {
        logEvent("sent again", pending, answer, now);
        retryLater(std::move(pending), now);
        return;
    }
    finishRefused(std::move(pending), answer.refusal.value_or(m_context.refuse(account::RefusalReason::serverLost, "no answer and no reason")), now);
}

void EntryHandler::handleSendFailed(const SendFailed &failed, const SteadyTime now)
{
    protocol::CallAnswer answer;
    answer.call = failed.call;
    answer.receiver = m_context.incarnation;
    answer.refusal = m_context.refuse(account::RefusalReason::serverLost, "the daemon chosen for the call cannot be reached");
    answer.status = account::httpStatus(answer.refusal->reason);
    const auto found = m_pending.find(failed.call);
    if (found != m_pending.end()) {
        // Failing to reach the owner of a key proves nothing about earlier attempts with the key.
        const bool isAttempt = found->second.phase == Phase::attempting;
        answer.verdict = isAttempt ? retry::verdictOf(retry::AttemptEnd::neverSent) : Verdict::mayHaveRun;
        answer.attemptsReturned = found->second.attemptsOut;
        handleAnswer(failed.to, answer, now);
    }
}

void EntryHandler::handlePeerLost(const PeerLost &lost, const SteadyTime now)
{
    // The answer to an attempt returns on the connection that carried the attempt. Once that is lost no answer can arrive,
    // and the caller would wait until its deadline in vain. If the connection never opened, each unsent attempt has a
    // SendFailed of its own; a later attempt may have been sent on the next connection.
    if (!lost.wasConnected || lost.daemon == m_context.self) {
        return;
    }
    std::vector<CallId> calls;
    for (const auto &[call, pending] : m_pending) {
        if (pending.server == lost.daemon) {
            calls.push_back(call);
        }
    }
    for (const CallId call : calls) {
        protocol::CallAnswer answer;
        answer.call = call;
        answer.receiver = m_context.incarnation;
        answer.verdict = Verdict::mayHaveRun;
        answer.refusal = m_context.refuse(account::RefusalReason::serverLost, "the connection to the serving daemon was lost before it answered");
        answer.status = account::httpStatus(answer.refusal->reason);
        handleAnswer(lost.daemon, answer, now);
    }
}

void EntryHandler::tick(const SteadyTime now)
{
    tickGrants(now);
    shareRetrySlack();
    while (!m_wakes.empty() && m_wakes.begin()->first <= now) {
        const auto found = m_pending.find(m_wakes.begin()->second);
        if (found->second.deadline > now) {
            resend(removePending(found), now);
            continue;
        }
        giveUp(found, account::RefusalReason::deadlinePassed, "no answer came before the deadline", now);
    }
}

void EntryHandler::drain()
{
    m_isDraining = true;
    if (m_grants != nullptr) {
        m_grants->leave();
    }
}

std::optional<SteadyTime> EntryHandler::nextDeadline() const
{
    return m_wakes.empty() ? std::nullopt : std::optional{m_wakes.begin()->first};
}

void EntryHandler::giveUp(const PendingMap::iterator found, const account::RefusalReason reason, const std::string &rule, const SteadyTime now)
{
    const CallId call = found->first;
    Pending pending = removePending(found);
    if (pending.phase != Phase::backingOff) {
        // An attempt is in flight: it may be running, or may still be started by a daemon that reads the request late.
        pending.verdict = retry::combine(pending.verdict, retry::verdictOf(retry::AttemptEnd::unanswered));
    }
    if (pending.phase == Phase::attempting) {
        m_context.actions.emplace_back(SendToPeer{.to = pending.server, .endpoint = {}, .message = protocol::CallCancel{.call = call}});
        const bool isCallerCancel = reason == account::RefusalReason::cancelled;
        const routing::AttemptOutcome outcome = isCallerCancel ? routing::AttemptOutcome::abandoned : routing::AttemptOutcome::lost;
        endAttempt(pending, {.outcome = outcome, .kind = pending.call.kind, .latency = now - pending.sentAt, .bytes = 0, .load = std::nullopt}, nullptr, now);
    }
    finishRefused(std::move(pending), m_context.refuse(reason, rule), now);
}

EntryHandler::Pending EntryHandler::removePending(const PendingMap::iterator found)
{
    Pending pending = std::move(found->second);
    m_wakes.erase({pending.wakeAt, found->first});
    if (const auto *const exchange = std::get_if<ExchangeId>(&pending.requester)) {
        m_byExchange.erase(*exchange);
    }
    m_pending.erase(found);
    return pending;
}

} // namespace egretlatch::decision
