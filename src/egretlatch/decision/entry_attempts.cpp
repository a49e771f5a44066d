// The part of EntryHandler that makes attempts: where they go, what their ends lead to, and what bounds them.

#include <egretlatch/decision/entry_handler.hpp>

#include <algorithm>

#include <fmt/format.h>

#include <egretlatch/retry/backoff.hpp>

namespace egretlatch::decision
{

namespace internal
{

constexpr int firstServerError = 500;
// Another daemon's server is usually known by then: deaths are known everywhere within about a second.
constexpr std::chrono::milliseconds retryAfterNoServer{500};

} // namespace internal

void EntryHandler::makeAttempt(Pending pending, const SteadyTime now)
{
    if (pending.tried.empty()) {
        m_surroundings.metrics.count("first_attempts", pending.call.service);
    }
    const routing::RouteRequest route{
        .service = pending.call.service, .kind = pending.call.kind, .root = pending.root, .excluded = pending.tried, .deadline = pending.deadline};
    const std::optional<DaemonId> server = m_surroundings.router->choose(route, now);
    if (!server.has_value()) {
        const std::chrono::milliseconds retryAfter = m_rules.countsOnlyArrivals ? internal::retryAfterNoServer : std::chrono::milliseconds{};
        finishRefused(std::move(pending), m_surroundings.refuse(account::RefusalReason::noServer, "no backend server is left to try", {}, retryAfter), now);
        return;
    }
    const membership::Member *const member = m_surroundings.roster.find(*server);
    pending.phase = Phase::attempting;
    pending.server = *server;
    pending.tried.insert(*server);
    pending.attemptTrace = m_rules.traces ? account::childOf(pending.trace, m_surroundings.random) : account::TraceContext{};
    pending.sentAt = now;
    // What is lent may have been spent by a daemon that is then lost without an answer, so it counts as spent. One attempt
    // stays here, or a read at a daemon that fails could not be made again elsewhere.
    const int kept = m_rules.countsOnlyArrivals ? pending.attemptsLeft : std::min(pending.attemptsLeft, 1);
    pending.attemptsOut = pending.attemptsLeft - kept;
    pending.attemptsLeft = kept;
    protocol::CallRequest request = requestOf(pending, {++m_lastCall}, now);
    request.receiver = member == nullptr ? Incarnation{} : member->incarnation;
    const std::string endpoint = member == nullptr ? std::string{} : member->endpoint;
    m_surroundings.metrics.count("attempts", request.service);
    const SteadyTime deadline = pending.deadline;
    keep(request.call, std::move(pending), deadline);
    m_surroundings.actions.emplace_back(SendToPeer{.to = *server, .endpoint = endpoint, .message = std::move(request)});
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
    request.requestName = pending.call.requestName;
    request.remaining = pending.deadline - now;
    request.trace = pending.attemptTrace;
    request.rank = pending.rank;
    request.rootCosts = pending.rootCosts;
    request.attemptsLent = pending.attemptsOut;
    request.depth = pending.depth;
    request.isRepeat = pending.isOfRepeat || pending.isRepeat;
    request.scope = pending.scope;
    return request;
}

void EntryHandler::note(const std::string_view event, const Pending &pending, const protocol::CallAnswer &answer, const SteadyTime now)
{
    m_surroundings.actions.emplace_back(LogRequest{
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
    // The request reached no backend server, so trying the next daemon is no retry: nothing multiplies down the chain.
    // A daemon that is full is left once, since another may be nearly empty; when all are full, asking each is waste.
    switch (answer.refusal->reason) {
    case account::RefusalReason::draining:
    case account::RefusalReason::noServer:
    case account::RefusalReason::serverLost:
        return pending.tried.size() < mostMoves;
    case account::RefusalReason::overloadAtServer:
        return pending.tried.size() < 2;
    default:
        return false;
    }
}

bool EntryHandler::mayTryElsewhere(const Pending &pending, const protocol::CallAnswer &answer, const SteadyTime now)
{
    // A backend server that fails part of its requests while it looks healthy is told by a failure that no inner call
    // brought about: there another server may do better, while a failure from below would only be repeated.
    const bool hasFailedHere = answer.verdict == Verdict::completed && answer.status == internal::firstServerError && !answer.hasFailedBelow;
    if (!m_rules.countsOnlyArrivals || !hasFailedHere || !pending.idempotent || pending.attemptsLeft <= 0) {
        return false;
    }
    const Duration spent = now - pending.sentAt;
    return pending.deadline - now > spent && takeRetry(pending, answer, now);
}

bool EntryHandler::takeRetry(const Pending &pending, const protocol::CallAnswer &answer, const SteadyTime now)
{
    if (m_ratio.take(pending.call.service)) {
        return true;
    }
    m_surroundings.metrics.count("retries_denied", pending.call.service);
    note("not sent again: the fleet's retries are spent", pending, answer, now);
    return false;
}

bool EntryHandler::mayRetry(const Pending &pending, const protocol::CallAnswer &answer, const SteadyTime now)
{
    if (pending.attemptsLeft <= 0 || pending.deadline <= now || !answer.refusal.has_value()) {
        return false;
    }
    if (answer.verdict == Verdict::mayHaveRun && !pending.idempotent) {
        return false;
    }
    if (m_rules.countsOnlyArrivals && answer.verdict == Verdict::notRun && answer.hasReachedServer) {
        // One server had no room in its queue; the gate of another one may know of some.
        return takeRetry(pending, answer, now);
    }
    // A refusal for overload is not retried: it would add load where there is too much, and multiply with each hop.
    const account::RefusalReason reason = answer.refusal->reason;
    const bool isWorthIt =
        reason == account::RefusalReason::serverLost || reason == account::RefusalReason::draining || reason == account::RefusalReason::noServer;
    return isWorthIt && takeRetry(pending, answer, now);
}

void EntryHandler::retryLater(Pending pending, const SteadyTime now)
{
    const Duration wait = retry::backoff(pending.retries, m_surroundings.random);
    --pending.attemptsLeft;
    ++pending.retries;
    pending.isRepeat = true;
    m_surroundings.metrics.count("retries", pending.call.service);
    pending.phase = Phase::backingOff;
    // A wait that outlasts the deadline ends there; no attempt is out then, so the verdict stays as it is.
    const SteadyTime wakeAt = std::min(now + wait, pending.deadline);
    keep({++m_lastCall}, std::move(pending), wakeAt);
}

void EntryHandler::endAttempt(const Pending &pending, const routing::AttemptResult &result, const protocol::CallAnswer *const answer, const SteadyTime now)
{
    m_surroundings.router->noteResult(pending.server, result, now);
    if (answer != nullptr) {
        noteAnswer(pending, *answer, now);
    }
    m_surroundings.metrics.observe("attempt_duration", pending.call.service, result.latency);
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
    m_surroundings.actions.emplace_back(RecordSpan{.span = std::move(span)});
}

void EntryHandler::noteAnswer(const Pending &pending, const protocol::CallAnswer &answer, const SteadyTime now)
{
    admission::EntryControl &control = *m_surroundings.entryControl;
    control.noteLoad({.service = pending.call.service, .daemon = pending.server, .load = answer.load}, now);
    if (answer.pace.has_value()) {
        m_surroundings.router->notePaces(pending.server, {*answer.pace}, now);
    }
    control.noteChain({pending.call.service, pending.call.kind}, answer.chain);
    for (const protocol::ServiceLevel &level : answer.levels) {
        control.noteLevel({.service = level.service, .reported = {.level = level.level, .at = now - level.age}});
    }
}

void EntryHandler::shareRetrySlack()
{
    // Daemons agree on nothing: each takes its part of what the fleet may repeat, so the sum stays within the whole. A
    // daemon that knows few others would take too much, so it takes none before it knows some.
    const std::size_t daemons = m_surroundings.roster.participants().size() + 1;
    if (m_rules.retrySlack.has_value() && daemons != m_daemons) {
        m_daemons = daemons;
        m_ratio.setMaxSaved(daemons < 2 ? 0.0 : *m_rules.retrySlack / static_cast<double>(daemons));
    }
}

} // namespace egretlatch::decision
