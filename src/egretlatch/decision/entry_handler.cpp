#include <egretlatch/decision/entry_handler.hpp>

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

namespace egretlatch::decision
{

namespace internal
{

constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int firstServerError = 500;
constexpr std::size_t longestKey = 255;

[[nodiscard]] static std::uint64_t fingerprint(const std::string &key)
{
    return key.empty() ? 0 : XXH64(key.data(), key.size(), 0);
}

[[nodiscard]] static bool isPrintable(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](const char character) {
        return character > ' ' && character <= '~';
    });
}

[[nodiscard]] static CallerAnswer mistakeAnswer(const CallerCall &call, const int status, std::string mistake)
{
    CallerAnswer answer;
    answer.verdict = Verdict::notRun;
    answer.status = status;
    answer.service = call.service;
    answer.kind = call.kind;
    answer.mistake = std::move(mistake);
    return answer;
}

[[nodiscard]] static routing::AttemptOutcome outcomeOf(const protocol::CallAnswer &answer)
{
    if (!answer.refusal.has_value()) {
        return answer.status >= firstServerError ? routing::AttemptOutcome::failed : routing::AttemptOutcome::answered;
    }
    return answer.refusal->reason == account::RefusalReason::serverLost ? routing::AttemptOutcome::lost : routing::AttemptOutcome::refused;
}

} // namespace internal

EntryHandler::EntryHandler(Surroundings &surroundings, ServingHandler &serving)
    : m_surroundings{surroundings}
    , m_serving{serving}
{
}

std::optional<std::string> EntryHandler::mistakeOf(const CallerCall &call) const
{
    const manifest::KindSpec *const kind = m_surroundings.manifest->findKind(call.service, call.kind);
    if (!kind->idempotent && call.key.empty()) {
        return fmt::format("{}/{} is not idempotent: an Idempotency-Key header is required", call.service, call.kind);
    }
    if (call.key.size() > internal::longestKey || !internal::isPrintable(call.key)) {
        return "an Idempotency-Key has at most 255 printable characters without spaces";
    }
    if (call.timeout.has_value() && call.timeout->count() <= 0) {
        return "Request-Timeout-Ms is a whole number above zero";
    }
    return std::nullopt;
}

void EntryHandler::handleArrived(const CallArrived &arrived, const SteadyTime now)
{
    const CallerCall &call = arrived.call;
    const manifest::KindSpec *const kind = m_surroundings.manifest == nullptr ? nullptr : m_surroundings.manifest->findKind(call.service, call.kind);
    if (kind == nullptr) {
        const std::string mistake = fmt::format("no service and kind {}/{} is declared", call.service, call.kind);
        m_surroundings.actions.emplace_back(AnswerCaller{arrived.exchange, internal::mistakeAnswer(call, internal::notFound, mistake)});
        return;
    }
    if (const std::optional<std::string> mistake = mistakeOf(call)) {
        m_surroundings.actions.emplace_back(AnswerCaller{arrived.exchange, internal::mistakeAnswer(call, internal::badRequest, *mistake)});
        return;
    }
    std::optional<InnerContext> inner;
    if (!call.runToken.empty()) {
        inner = m_serving.findRun(call.runToken);
        if (!inner.has_value()) {
            const std::string mistake = "Egretlatch-Call names no run that is running here; it may have been cancelled";
            m_surroundings.actions.emplace_back(AnswerCaller{arrived.exchange, internal::mistakeAnswer(call, internal::badRequest, mistake)});
            return;
        }
    }
    Pending pending = begin(arrived, *kind, inner, now);
    if (!inner.has_value()) {
        const admission::EntryRequest request{.service = call.service, .kind = call.kind, .root = pending.root, .rank = pending.rank};
        if (auto refusal = m_surroundings.entryControl->check(request, now)) {
            finishRefused(pending, m_surroundings.refuse(refusal->reason, refusal->rule, refusal->figures, refusal->retryAfter), now);
            return;
        }
    }
    makeAttempt(std::move(pending), now);
}

EntryHandler::Pending
EntryHandler::begin(const CallArrived &arrived, const manifest::KindSpec &kind, const std::optional<InnerContext> &inner, const SteadyTime now)
{
    const CallerCall &call = arrived.call;
    Pending pending;
    pending.exchange = arrived.exchange;
    pending.call = call;
    pending.idempotent = kind.idempotent;
    pending.arrived = now;
    pending.deadline = now + call.timeout.value_or(kind.deadline);
    if (inner.has_value()) {
        pending.root = inner->root;
        pending.rank = inner->rank;
        pending.depth = inner->depth + 1;
        pending.parent = inner->execution;
        pending.deadline = std::min(pending.deadline, inner->deadline);
        pending.attemptsLeft = m_serving.lendAttempts(inner->execution);
        pending.parentSpanId = inner->trace.spanId;
        pending.trace = account::childOf(inner->trace, m_surroundings.random);
        return pending;
    }
    pending.root = m_surroundings.mint.mint(m_surroundings.clock.wallNow());
    pending.rank = m_surroundings.entryControl->rankOf(call.service, call.kind);
    pending.attemptsLeft = kind.retryBudget;
    const account::TraceContext above = call.trace.value_or(account::startTrace(m_surroundings.random));
    pending.parentSpanId = call.trace.has_value() ? above.spanId : std::string{};
    pending.trace = account::childOf(above, m_surroundings.random);
    return pending;
}

void EntryHandler::makeAttempt(Pending pending, const SteadyTime now)
{
    const routing::RouteRequest route{.service = pending.call.service, .root = pending.root, .excluded = pending.tried, .deadline = pending.deadline};
    const std::optional<DaemonId> server = m_surroundings.router->choose(route, now);
    if (!server.has_value()) {
        finishRefused(pending, m_surroundings.refuse(account::RefusalReason::noServer, "no backend server is left to try"), now);
        return;
    }
    const CallId call{++m_lastCall};
    const membership::Member *const member = m_surroundings.roster.find(*server);
    pending.server = *server;
    pending.tried.insert(*server);
    pending.attemptTrace = account::childOf(pending.trace, m_surroundings.random);
    pending.sentAt = now;
    pending.attemptsOut = pending.attemptsLeft;
    pending.attemptsLeft = 0;
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
    request.remaining = pending.deadline - now;
    request.trace = pending.attemptTrace;
    request.rank = pending.rank;
    request.attemptsLent = pending.attemptsOut;
    request.depth = pending.depth;
    m_byExchange[pending.exchange] = call;
    m_deadlines.emplace(pending.deadline, call);
    m_pending.emplace(call, std::move(pending));
    m_surroundings.metrics.count("attempts", request.service);
    const std::string endpoint = member == nullptr ? std::string{} : member->endpoint;
    m_surroundings.actions.emplace_back(SendToPeer{.to = *server, .endpoint = endpoint, .message = std::move(request)});
}

void EntryHandler::handleCallerGone(const ExchangeId exchange, const SteadyTime now)
{
    const auto found = m_byExchange.find(exchange);
    if (found != m_byExchange.end()) {
        giveUp(m_pending.find(found->second), account::RefusalReason::cancelled, "the caller closed its connection", now);
    }
}

void EntryHandler::handleAnswer(const DaemonId &from, const protocol::CallAnswer &answer, const SteadyTime now)
{
    // An answer can come late, twice, from another daemon or for an earlier life of this one. Taken for a newer call it
    // would give one caller another caller's answer. Call ids are unique within an incarnation, and each is expected
    // from one daemon only, so all three must match.
    const auto found = m_pending.find(answer.call);
    if (answer.receiver != m_surroundings.incarnation || found == m_pending.end() || found->second.server != from) {
        m_surroundings.metrics.count("messages_dropped", "late-answer");
        return;
    }
    Pending pending = take(found);
    pending.attemptsLeft = std::clamp(answer.attemptsReturned, 0, pending.attemptsOut);
    pending.slotTime += answer.slotTime;
    endAttempt(pending, {.outcome = internal::outcomeOf(answer), .latency = now - pending.sentAt, .load = answer.load}, &answer, now);
    if (answer.verdict == Verdict::completed) {
        CallerAnswer given;
        given.verdict = Verdict::completed;
        given.status = answer.status;
        given.headers = answer.headers;
        given.body = answer.body;
        finish(pending, std::move(given), now);
        return;
    }
    pending.mayHaveRun = pending.mayHaveRun || answer.verdict == Verdict::mayHaveRun;
    if (mayRetry(pending, answer, now)) {
        --pending.attemptsLeft;
        m_surroundings.metrics.count("retries", pending.call.service);
        makeAttempt(std::move(pending), now);
        return;
    }
    finishRefused(pending, answer.refusal.value_or(m_surroundings.refuse(account::RefusalReason::serverLost, "no answer and no reason")), now);
}

void EntryHandler::handleSendFailed(const SendFailed &failed, const SteadyTime now)
{
    protocol::CallAnswer answer;
    answer.call = failed.call;
    answer.receiver = m_surroundings.incarnation;
    answer.verdict = Verdict::notRun;
    answer.refusal = m_surroundings.refuse(account::RefusalReason::serverLost, "the serving daemon cannot be reached");
    answer.status = account::httpStatus(answer.refusal->reason);
    const auto found = m_pending.find(failed.call);
    if (found != m_pending.end()) {
        answer.attemptsReturned = found->second.attemptsOut;
        handleAnswer(failed.to, answer, now);
    }
}

void EntryHandler::tick(const SteadyTime now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        giveUp(m_pending.find(m_deadlines.begin()->second), account::RefusalReason::deadlinePassed, "no answer came before the deadline", now);
    }
}

std::optional<SteadyTime> EntryHandler::nextDeadline() const
{
    return m_deadlines.empty() ? std::nullopt : std::optional{m_deadlines.begin()->first};
}

bool EntryHandler::mayRetry(const Pending &pending, const protocol::CallAnswer &answer, const SteadyTime now) const
{
    if (pending.attemptsLeft <= 0 || pending.deadline <= now || !answer.refusal.has_value()) {
        return false;
    }
    if (answer.verdict == Verdict::mayHaveRun && !pending.idempotent) {
        return false;
    }
    const account::RefusalReason reason = answer.refusal->reason;
    return reason == account::RefusalReason::serverLost || reason == account::RefusalReason::draining || reason == account::RefusalReason::noServer;
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
    const admission::NotedLevel chainLevel{.level = answer.chainLevel, .at = now - answer.chainLevelAge};
    m_surroundings.entryControl->noteLoad(
        {.service = pending.call.service, .kind = pending.call.kind, .daemon = pending.server, .load = answer.load, .chainLevel = chainLevel}, now);
    if (answer.verdict == Verdict::completed && answer.status < internal::firstServerError) {
        m_surroundings.entryControl->noteSlotTime(pending.call.service, pending.call.kind, answer.slotTime);
    }
}

void EntryHandler::finish(const Pending &pending, CallerAnswer answer, const SteadyTime now)
{
    answer.service = pending.call.service;
    answer.kind = pending.call.kind;
    if (pending.parent.has_value()) {
        m_serving.noteInnerEnded(*pending.parent, pending.attemptsLeft, pending.slotTime, now);
    }
    m_surroundings.metrics.count("answers", toString(answer.verdict));
    m_surroundings.metrics.observe("call_duration", answer.service, now - pending.arrived);
    if (pending.trace.sampled) {
        account::Span span;
        span.context = pending.trace;
        span.parentSpanId = pending.parentSpanId;
        span.hop = account::Hop::entry;
        span.service = answer.service;
        span.kind = answer.kind;
        span.started = pending.arrived;
        span.ended = now;
        span.verdict = answer.verdict;
        span.status = answer.status;
        if (answer.refusal.has_value()) {
            span.refusal = answer.refusal->reason;
        }
        m_surroundings.actions.emplace_back(RecordSpan{.span = std::move(span)});
    }
    m_surroundings.actions.emplace_back(AnswerCaller{.exchange = pending.exchange, .answer = std::move(answer)});
}

void EntryHandler::finishRefused(const Pending &pending, account::Refusal refusal, const SteadyTime now)
{
    CallerAnswer answer;
    answer.verdict = pending.mayHaveRun ? Verdict::mayHaveRun : Verdict::notRun;
    answer.status = account::httpStatus(refusal.reason);
    answer.refusal = std::move(refusal);
    RefusalRecord record;
    record.refusal = *answer.refusal;
    record.verdict = answer.verdict;
    record.root = pending.root;
    record.keyFingerprint = internal::fingerprint(pending.call.key);
    record.service = pending.call.service;
    record.kind = pending.call.kind;
    record.priority = pending.rank.priority;
    if (const manifest::KindSpec *const kind = m_surroundings.manifest->findKind(record.service, record.kind)) {
        record.worth = kind->worth;
    }
    record.time = m_surroundings.clock.wallNow();
    m_surroundings.metrics.count("refusals", account::toString(answer.refusal->reason));
    m_surroundings.actions.emplace_back(RecordRefusal{.record = std::move(record)});
    finish(pending, std::move(answer), now);
}

void EntryHandler::giveUp(const PendingMap::iterator found, const account::RefusalReason reason, const std::string &rule, const SteadyTime now)
{
    const CallId call = found->first;
    Pending pending = take(found);
    // The attempt has been sent and not ended: it may be running now, or may be started by a daemon that reads late.
    pending.mayHaveRun = true;
    m_surroundings.actions.emplace_back(SendToPeer{.to = pending.server, .endpoint = {}, .message = protocol::CallCancel{.call = call}});
    const bool isCallers = reason == account::RefusalReason::cancelled;
    const routing::AttemptOutcome outcome = isCallers ? routing::AttemptOutcome::abandoned : routing::AttemptOutcome::lost;
    endAttempt(pending, {.outcome = outcome, .latency = now - pending.sentAt, .load = std::nullopt}, nullptr, now);
    finishRefused(pending, m_surroundings.refuse(reason, rule), now);
}

EntryHandler::Pending EntryHandler::take(const PendingMap::iterator found)
{
    Pending pending = std::move(found->second);
    m_deadlines.erase({pending.deadline, found->first});
    m_byExchange.erase(pending.exchange);
    m_pending.erase(found);
    return pending;
}

} // namespace egretlatch::decision
