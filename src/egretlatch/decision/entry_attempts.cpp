// The part of EntryHandler that makes attempts: routing, outcomes, retries and their limits.

#include <egretlatch/decision/entry_handler.hpp>

#include <algorithm>

#include <fmt/format.h>

#include <egretlatch/retry/backoff.hpp>

namespace egretlatch::decision
{

namespace internal
{

constexpr int firstServerError = 500;
// Another daemon's server is usually known by then: crashes are known fleet-wide within about a second.
constexpr std::chrono::milliseconds retryAfterNoServer{500};

} // namespace internal

void EntryHandler::makeAttempt(Pending pending, const SteadyTime now)
{
    if (pending.tried.empty()) {
        m_context.metrics.count("first_attempts", pending.call.service);
    }
    const routing::RouteRequest route{
        .service = pending.call.service, .kind = pending.call.kind, .root = pending.root, .excluded = pending.tried, .deadline = pending.deadline};
    const std::optional<DaemonId> trialServer = pending.isTrial ? findTrialServer(pending) : std::nullopt;
    const std::optional<DaemonId> server = trialServer.has_value() ? trialServer : m_context.router->choose(route, now);
    if (!server.has_value()) {
        const std::chrono::milliseconds retryAfter = m_rules.countsOnlyArrivals ? internal::retryAfterNoServer : std::chrono::milliseconds{};
        finishRefused(std::move(pending), m_context.refuse(account::RefusalReason::noServer, "no backend server is left to try", {}, retryAfter), now);
        return;
    }
    const membership::Member *const member = m_context.roster.find(*server);
    pending.phase = Phase::attempting;
    pending.server = *server;
    pending.tried.insert(*server);
    pending.attemptTrace = m_rules.traces ? account::childOf(pending.trace, m_context.random) : account::TraceContext{};
    pending.sentAt = now;
    // Lent attempts may be used by a daemon that is then lost without an answer, so they count as used until returned. One
    // attempt is retained here; otherwise a read at a failing daemon could not be retried elsewhere.
    const int retained = m_rules.countsOnlyArrivals ? pending.attemptsLeft : std::min(pending.attemptsLeft, 1);
    pending.attemptsOut = pending.attemptsLeft - retained;
    pending.attemptsLeft = retained;
    protocol::CallRequest request = requestOf(pending, {++m_lastCall}, now);
    request.receiver = member == nullptr ? Incarnation{} : member->incarnation;
    const std::string endpoint = member == nullptr ? std::string{} : member->endpoint;
    m_context.metrics.count("attempts", request.service);
    const SteadyTime deadline = pending.deadline;
    addPending(request.call, std::move(pending), deadline);
    m_context.actions.emplace_back(SendToPeer{.to = *server, .endpoint = endpoint, .message = std::move(request)});
}

protocol::CallRequest EntryHandler::requestOf(const Pending &pending, const CallId call, const SteadyTime now) const
{
    protocol::CallRequest request;
    request.call = call;
    request.root = pending.root;
    request.service = pending.call.service;
    request.kind = pending.call.kind;
    request.method = pending.call.method;
    request.path = pending.call.path;
    request.headers = pending.call.headers;
    request.body = pending.call.body;
    request.key = pending.call.key;
    request.account = pending.call.account;
    request.requestName = pending.call.requestName;
    request.remaining = pending.deadline - now;
    request.trace = pending.attemptTrace;
    request.rank = pending.rank;
    request.rootCosts = pending.rootCosts;
    request.attemptsLent = pending.attemptsOut;
    request.depth = pending.depth;
    request.isRepeat = pending.isCallerRepeat || pending.isRepeat;
    request.wantsChain = m_context.entryControl->needsChain({pending.call.service, pending.call.kind});
    request.scope = pending.scope;
    return request;
}

void EntryHandler::logEvent(const std::string_view event, const Pending &pending, const protocol::CallAnswer &answer, const SteadyTime now)
{
    m_context.actions.emplace_back(LogRequest{
        .event = event,
        .requestName = pending.call.requestName,
        .service = pending.call.service,
        .kind = pending.call.kind,
        .server = pending.server,
        .reason = answer.refusal.has_value() ? answer.refusal->rule : fmt::format("status {}", answer.status),
        .elapsed = now - pending.arrived,
    });
}

bool EntryHandler::mayMoveOn(const Pending &pending, const protocol::CallAnswer &answer, const SteadyTime now) const
{
    if (!m_rules.countsOnlyArrivals || answer.verdict != Verdict::notRun || answer.hasReachedServer || pending.deadline <= now || !answer.refusal.has_value()) {
        return false;
    }
    // The request reached no backend server, so trying another daemon is not a retry: load does not multiply down the chain.
    // A call moves on from a full daemon only once: another may be nearly empty, but when all are full, trying each of them
    // is wasted work.
    switch (answer.refusal->reason) {
    case account::RefusalReason::draining:
    case account::RefusalReason::noServer:
    case account::RefusalReason::serverLost:
        return pending.tried.size() < maxMoves;
    case account::RefusalReason::overloadAtServer:
        return pending.tried.size() < 2;
    default:
        return false;
    }
}

bool EntryHandler::mayTryElsewhere(const Pending &pending, const protocol::CallAnswer &answer, const SteadyTime now)
{
    // A failure not caused by an inner call indicates a backend server that fails some of its requests while it reports
    // itself healthy. Another server may succeed, while a failure from a service below would only recur.
    const bool hasFailedHere = answer.verdict == Verdict::completed && answer.status == internal::firstServerError && !answer.hasFailedBelow;
    if (!m_rules.countsOnlyArrivals || !hasFailedHere || !pending.idempotent || pending.attemptsLeft <= 0) {
        return false;
    }
    const Duration spent = now - pending.sentAt;
    return pending.deadline - now > spent && takeRetry(pending, answer, now);
}

bool EntryHandler::takeRetry(const Pending &pending, const protocol::CallAnswer &answer, const SteadyTime now)
{
    if (m_retryBudget.take(pending.call.service)) {
        return true;
    }
    m_context.metrics.count("retries_denied", pending.call.service);
    logEvent("not sent again: the fleet's retries are spent", pending, answer, now);
    return false;
}

bool EntryHandler::mayRetry(const Pending &pending, const protocol::CallAnswer &answer, const SteadyTime now)
{
    if (pending.attemptsLeft <= 0 || pending.deadline <= now || !answer.refusal.has_value()) {
        return false;
    }
    if (answer.verdict == Verdict::mayHaveRun && (!pending.idempotent || mayEndAnotherServer(pending, answer, now))) {
        return false;
    }
    if (m_rules.countsOnlyArrivals && answer.verdict == Verdict::notRun && answer.hasReachedServer) {
        // The backend server rejected the request for lack of room; another one may have capacity.
        return takeRetry(pending, answer, now);
    }
    // A refusal for overload is not retried: a retry would add load to an overloaded service, and multiply with each hop.
    const account::RefusalReason reason = answer.refusal->reason;
    const bool isRetryable =
        reason == account::RefusalReason::serverLost || reason == account::RefusalReason::draining || reason == account::RefusalReason::noServer;
    return isRetryable && takeRetry(pending, answer, now);
}

void EntryHandler::retryLater(Pending pending, const SteadyTime now)
{
    const Duration wait = retry::backoff(pending.retries, m_context.random);
    --pending.attemptsLeft;
    ++pending.retries;
    pending.isRepeat = true;
    m_context.metrics.count("retries", pending.call.service);
    pending.phase = Phase::backingOff;
    // A backoff that exceeds the deadline ends there; no attempt is in flight then, so the verdict is unchanged.
    const SteadyTime wakeAt = std::min(now + wait, pending.deadline);
    addPending({++m_lastCall}, std::move(pending), wakeAt);
}

void EntryHandler::endAttempt(const Pending &pending, const routing::AttemptResult &result, const protocol::CallAnswer *const answer, const SteadyTime now)
{
    m_context.router->noteResult(pending.server, result, now);
    if (answer != nullptr) {
        noteAnswer(pending, *answer, now);
    }
    m_context.metrics.observe("attempt_duration", pending.call.service, result.latency);
    if (!pending.attemptTrace.sampled) {
        return;
    }
    account::Span span;
    span.context = pending.attemptTrace;
    span.parentSpanId = pending.trace.spanId;
    span.hop = account::Hop::attempt;
    span.service = pending.call.service;
    span.kind = pending.call.kind;
    span.started = pending.sentAt;
    span.ended = now;
    span.verdict = answer == nullptr ? Verdict::mayHaveRun : answer->verdict;
    span.status = answer == nullptr ? 0 : answer->status;
    if (answer != nullptr && answer->refusal.has_value()) {
        span.refusal = answer->refusal->reason;
    }
    m_context.actions.emplace_back(RecordSpan{.span = std::move(span)});
}

void EntryHandler::noteAnswer(const Pending &pending, const protocol::CallAnswer &answer, const SteadyTime now)
{
    admission::EntryControl &control = *m_context.entryControl;
    control.noteLoad({.service = pending.call.service, .daemon = pending.server, .load = answer.load}, now);
    if (answer.performance.has_value()) {
        m_context.router->notePerformance(pending.server, {*answer.performance}, now);
    }
    control.noteChain({pending.call.service, pending.call.kind}, answer.chain);
    for (const protocol::ServiceLevel &level : answer.levels) {
        control.noteLevel({.service = level.service, .reported = {.level = level.level, .at = now - level.age}});
    }
}

void EntryHandler::shareRetrySlack()
{
    const std::size_t daemons = m_context.roster.participants().size() + 1;
    if (m_rules.retrySlack.has_value() && daemons != m_fleetSize) {
        m_fleetSize = daemons;
        m_retryBudget.setPartOfSlack(*m_rules.retrySlack, daemons);
    }
}

} // namespace egretlatch::decision
