#include <egretlatch/decision/entry_handler.hpp>

#include <algorithm>
#include <vector>

namespace egretlatch::decision
{

namespace internal
{

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
