// The part of EntryHandler that ends calls: answers to callers, refusal records and spans.

#include <egretlatch/decision/entry_handler.hpp>

#include <xxhash.h>

namespace egretlatch::decision
{

namespace internal
{

constexpr int firstServerError = 500;

[[nodiscard]] static std::uint64_t fingerprint(const std::string &key)
{
    return key.empty() ? 0 : XXH64(key.data(), key.size(), 0);
}

} // namespace internal

void EntryHandler::finish(Pending pending, CallerAnswer answer, const SteadyTime now)
{
    answer.service = pending.call.service;
    answer.kind = pending.call.kind;
    if (pending.isTrial) {
        endTrial(pending, answer, now);
    }
    if (pending.holdsKey) {
        releaseKey(pending, answer);
    }
    if (pending.usesQuota && answer.verdict == Verdict::notRun) {
        m_accounts->quotas().giveBack(pending.call.account);
    }
    if (pending.parent.has_value()) {
        const bool hasFailed = answer.refusal.has_value() || answer.status >= internal::firstServerError;
        const int returned = m_rules.countsOnlyArrivals ? 0 : pending.attemptsLeft;
        m_serving.noteInnerEnded(*pending.parent, {.attempts = returned, .slotTime = pending.slotTime, .hasFailed = hasFailed}, now);
    }
    m_context.metrics.count("answers", toString(answer.verdict));
    m_context.metrics.observe("call_duration", answer.service, now - pending.arrived);
    recordSpan(pending, answer, now);
    // A refusal of a forwarded call is recorded at the forwarding daemon, where the caller is connected.
    if (answer.refusal.has_value() && std::holds_alternative<ExchangeId>(pending.requester)) {
        recordRefusal(pending, answer);
    }
    deliver(pending, answer);
    if (pending.holdsKey) {
        finishJoined(pending.call.key, answer, now);
    }
}

void EntryHandler::recordSpan(const Pending &pending, const CallerAnswer &answer, const SteadyTime now)
{
    if (!pending.trace.sampled) {
        return;
    }
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
    m_context.actions.emplace_back(RecordSpan{.span = std::move(span)});
}

void EntryHandler::deliver(const Pending &pending, CallerAnswer answer)
{
    if (const auto *const exchange = std::get_if<ExchangeId>(&pending.requester)) {
        m_context.actions.emplace_back(AnswerCaller{.exchange = *exchange, .answer = std::move(answer)});
        return;
    }
    const auto &peer = std::get<PeerCall>(pending.requester);
    protocol::CallAnswer message;
    message.call = peer.call;
    message.receiver = peer.incarnation;
    message.verdict = answer.verdict;
    message.status = answer.status;
    message.headers = std::move(answer.headers);
    message.body = std::move(answer.body);
    message.refusal = std::move(answer.refusal);
    message.attemptsReturned = pending.attemptsLeft;
    message.slotTime = pending.slotTime;
    message.nextKey = std::move(answer.nextKey);
    m_context.actions.emplace_back(SendToPeer{.to = peer.daemon, .endpoint = {}, .message = std::move(message)});
}

void EntryHandler::finishRefused(Pending pending, account::Refusal refusal, const SteadyTime now)
{
    CallerAnswer answer;
    answer.verdict = retry::verdictForKey(pending.knowledge, pending.verdict);
    answer.status = account::httpStatus(refusal.reason);
    answer.refusal = std::move(refusal);
    answer.nextKey = pending.nextKey;
    finish(std::move(pending), std::move(answer), now);
}

void EntryHandler::recordRefusal(const Pending &pending, const CallerAnswer &answer)
{
    RefusalRecord record;
    record.refusal = *answer.refusal;
    record.verdict = answer.verdict;
    record.root = pending.root;
    record.keyFingerprint = internal::fingerprint(pending.call.key);
    record.service = pending.call.service;
    record.kind = pending.call.kind;
    record.priority = pending.rank.priority;
    if (const manifest::KindSpec *const kind = m_context.manifest->findKind(record.service, record.kind)) {
        record.worth = kind->worth;
    }
    record.time = m_context.clock.wallNow();
    m_context.metrics.count("refusals", account::toString(answer.refusal->reason));
    m_context.actions.emplace_back(RecordRefusal{
        .record = std::move(record),
        .requestName = pending.call.requestName,
        .account = pending.call.account,
        .server = pending.server,
        .elapsed = m_context.clock.steadyNow() - pending.arrived,
        .depth = pending.depth,
    });
}

} // namespace egretlatch::decision
