// The part of EntryHandler that handles request keys: their owners and the state of their requests.

#include <algorithm>

#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>
#include <xxhash.h>

#include <egretlatch/decision/entry_handler.hpp>

namespace egretlatch::decision
{

namespace internal
{

constexpr int created = 201;
constexpr int notFoundStatus = 404;

// Distinguishes two requests with one key by everything that the backend server receives of them.
[[nodiscard]] static std::uint64_t hashOf(const CallerCall &call)
{
    const std::uint64_t body = XXH3_64bits(call.body.constData(), static_cast<std::size_t>(call.body.size()));
    const std::string head = fmt::format("{}\n{}\n{}\n{}\n{:x}", call.service, call.kind, call.method, call.path, body);
    return XXH3_64bits(head.data(), head.size());
}

[[nodiscard]] static CallerAnswer replay(const retry::HeldAnswer &held)
{
    CallerAnswer answer;
    answer.verdict = Verdict::completed;
    answer.status = held.status;
    answer.headers = held.headers;
    answer.body = held.body;
    return answer;
}

// The key stays closed after not-run, so that an earlier attempt still in flight never starts. A resend therefore needs a
// key of its own.
[[nodiscard]] static std::string nextKeyOf(const std::string &text, const int attemptsLeft)
{
    std::optional<retry::RequestKey> key = retry::RequestKey::parse(text);
    if (!key.has_value()) {
        key = retry::RequestKey::parseUuid(text);
    }
    return key.has_value() && attemptsLeft > 0 ? key->next().text() : std::string{};
}

[[nodiscard]] static std::string ruleOf(const retry::KeyState state)
{
    switch (state) {
    case retry::KeyState::answerDropped:
        return "the request has completed; its answer is no longer held";
    case retry::KeyState::closed:
        return "an attempt with this key was refused as not run, which closed the key; resend with Egretlatch-Next-Key";
    case retry::KeyState::uncertain:
        return "an attempt with this key ended without proof that it did not run";
    case retry::KeyState::forgotten:
        return "the key is older than what is remembered of request keys";
    case retry::KeyState::mismatched:
        return "the key was sent with another request before";
    default:
        return "the key has been used";
    }
}

} // namespace internal

void EntryHandler::handleKeyRequested(const KeyRequested &requested, const bool isDraining, const SteadyTime now)
{
    CallerAnswer answer;
    answer.service = requested.service;
    answer.kind = requested.kind;
    if (m_context.manifest == nullptr || m_context.manifest->findKind(requested.service, requested.kind) == nullptr) {
        answer.status = internal::notFoundStatus;
        answer.requestError = fmt::format("no service and kind {}/{} is declared", requested.service, requested.kind);
    } else if (isDraining) {
        // The owner of the key would soon be gone, and requests with the key refused as may-have-run.
        answer.refusal = m_context.refuse(account::RefusalReason::draining, "a daemon that is leaving mints no keys");
        answer.status = account::httpStatus(answer.refusal->reason);
    } else {
        const retry::KeyOwner self{.daemon = m_context.self, .incarnation = m_context.incarnation};
        const retry::RequestKey key = retry::RequestKey::mint(self, ageOf(now), m_context.random);
        answer.verdict = Verdict::completed;
        answer.status = internal::created;
        answer.headers.push_back({.name = "Content-Type", .value = "application/json"});
        QJsonObject document;
        document[u"key"] = QString::fromStdString(key.text());
        answer.body = QJsonDocument{document}.toJson(QJsonDocument::Compact);
    }
    m_context.actions.emplace_back(AnswerCaller{.exchange = requested.exchange, .answer = std::move(answer)});
}

std::chrono::milliseconds EntryHandler::ageOf(const SteadyTime now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_context.startedAt);
}

std::string EntryHandler::innerScope(const InnerContext &inner, const CallerCall &call)
{
    const std::optional<retry::RequestKey> parent = retry::RequestKey::parse(inner.scope);
    if (!parent.has_value()) {
        return {};
    }
    if (!call.key.empty()) {
        return parent->derive(fmt::format("key\n{}\n{}\n{}", call.service, call.kind, call.key)).text();
    }
    // Calls with equal content are distinguished by their order, so a repeated run derives the same keys as long as it makes
    // its calls in the same order, or with different content.
    const std::uint64_t content = internal::hashOf(call);
    const int ordinal = m_serving.nextOrdinal(inner.execution, content);
    return parent->derive(fmt::format("call\n{:x}\n{}", content, ordinal)).text();
}

std::optional<retry::RequestKey> EntryHandler::keyOf(const Pending &pending, const std::optional<InnerContext> &inner) const
{
    std::optional<retry::RequestKey> key = retry::RequestKey::parse(pending.call.key);
    if (key.has_value()) {
        return key;
    }
    // A backend server's own key for an inner call need not name an owner: the owner of the root's key owns all its calls.
    if (inner.has_value()) {
        return retry::RequestKey::parse(pending.scope);
    }
    key = m_grants == nullptr ? std::nullopt : retry::RequestKey::parseUuid(pending.call.key);
    if (!key.has_value()) {
        return std::nullopt;
    }
    return key->withOwner(m_grants->ownerOf(*key->uuid()).value_or(retry::KeyOwner{}));
}

void EntryHandler::findOwner(Pending pending, const std::optional<InnerContext> &inner, const SteadyTime now)
{
    const std::optional<retry::RequestKey> key = keyOf(pending, inner);
    if (!key.has_value() && m_context.unownedKeys == retry::UnownedKeys::entryMemory) {
        handleUnownedKey(std::move(pending), now);
        return;
    }
    pending.knowledge = retry::KeyKnowledge::none;
    if (!key.has_value()) {
        const std::string rule = m_grants == nullptr
            ? "the key names no owner, and no platform is set to tell one; mint one by POST /keys/{service}/{kind}"
            : "the key names no owner and carries no time; use a version 7 UUID, or mint one by POST /keys/{service}/{kind}";
        finishRefused(std::move(pending), m_context.refuse(account::RefusalReason::keyOwnerUnknown, rule), now);
        return;
    }
    pending.call.key = key->text();
    if (!key->uuid().has_value()) {
        pending.scope = key->text();
    }
    if (key->owner() == retry::KeyOwner{.daemon = m_context.self, .incarnation = m_context.incarnation}) {
        handleOwnedKey(std::move(pending), *key, now);
        return;
    }
    forward(std::move(pending), key->owner(), now);
}

retry::KeyLedger &EntryHandler::ledgerOf(const Pending &pending)
{
    return pending.isGranted ? m_grantedLedger : m_ledger;
}

void EntryHandler::handleUnownedKey(Pending pending, const SteadyTime now)
{
    const std::uint64_t request = internal::hashOf(pending.call);
    pending.knowledge = retry::KeyKnowledge::owner;
    retry::KeyLookup lookup = m_ledger.find(pending.call.key, ageOf(now), request);
    if (lookup.state == retry::KeyState::closed && lookup.attemptsLeft > 0) {
        pending.attemptsLeft = std::min(pending.attemptsLeft, lookup.attemptsLeft - 1);
        m_ledger.reopen(pending.call.key);
        lookup = {.state = retry::KeyState::fresh};
    }
    // An unknown key without an age counts as new, although it may have been forgotten; this makes the rule unsafe in general.
    if (lookup.state == retry::KeyState::fresh || lookup.state == retry::KeyState::forgotten) {
        beginOwned(std::move(pending), ageOf(now), request, now);
        return;
    }
    answerFromLedger(std::move(pending), lookup, now);
}

void EntryHandler::handleOwnedKey(Pending pending, const retry::RequestKey &key, const SteadyTime now)
{
    const std::uint64_t request = internal::hashOf(pending.call);
    pending.knowledge = retry::KeyKnowledge::owner;
    // The platform's table grants keys by their timestamp. This incarnation does not run keys of grants it has given up, even
    // if other daemons still read the old table.
    if (key.uuid().has_value() && !m_grants->owns(*key.uuid())) {
        pending.knowledge = retry::KeyKnowledge::none;
        finishRefused(std::move(pending), m_context.refuse(account::RefusalReason::keyOwnerUnknown, "the key was not granted to this daemon"), now);
        return;
    }
    if (!key.uuid().has_value() && key.age() > ageOf(now)) {
        // Not minted here: its age lies in the future. Recorded, it would be the last key to be forgotten, and forgetting it
        // would close all keys minted up to that age.
        finishRefused(std::move(pending), m_context.refuse(account::RefusalReason::keyOwnerUnknown, "the key was not minted by its owner"), now);
        return;
    }
    pending.isGranted = key.uuid().has_value();
    retry::KeyLedger &ledger = ledgerOf(pending);
    const retry::KeyLookup lookup = ledger.find(key.text(), key.age(), request);
    if (lookup.state != retry::KeyState::fresh) {
        answerFromLedger(std::move(pending), lookup, now);
        return;
    }
    if (inheritAttempts(pending, key, request)) {
        beginOwned(std::move(pending), key.age(), request, now);
        return;
    }
    // This refusal does not close a key whose predecessor is still running, so the request might run later.
    const bool isPreviousClosed = ledger.find(key.previous()->text(), key.age(), request).state == retry::KeyState::closed;
    pending.verdict = isPreviousClosed ? Verdict::notRun : Verdict::mayHaveRun;
    const std::string rule = "the resends of this request are used up, or the key before this one was not refused as not run";
    finishRefused(std::move(pending), m_context.refuse(account::RefusalReason::retryBudgetSpent, rule), now);
}

bool EntryHandler::inheritAttempts(Pending &pending, const retry::RequestKey &key, const std::uint64_t request)
{
    const std::optional<retry::RequestKey> previous = key.previous();
    if (!previous.has_value()) {
        return true;
    }
    const retry::KeyLookup previousLookup = ledgerOf(pending).find(previous->text(), previous->age(), request);
    if (previousLookup.state != retry::KeyState::closed || previousLookup.attemptsLeft <= 0) {
        return false;
    }
    // A resend by the caller is another attempt of the same request and uses the attempts that the last one left over.
    pending.attemptsLeft = std::min(pending.attemptsLeft, previousLookup.attemptsLeft - 1);
    return true;
}

void EntryHandler::beginOwned(Pending pending, const std::chrono::milliseconds age, const std::uint64_t request, const SteadyTime now)
{
    ledgerOf(pending).begin(pending.call.key, age, request);
    pending.holdsKey = true;
    admit(std::move(pending), now);
}

void EntryHandler::answerFromLedger(Pending pending, const retry::KeyLookup &lookup, const SteadyTime now)
{
    switch (lookup.state) {
    case retry::KeyState::running:
        join(std::move(pending));
        return;
    case retry::KeyState::answered:
        m_context.metrics.count("key_replays", pending.call.service);
        finish(std::move(pending), internal::replay(*lookup.answer), now);
        return;
    case retry::KeyState::closed:
        pending.verdict = Verdict::notRun;
        pending.nextKey = internal::nextKeyOf(pending.call.key, lookup.attemptsLeft);
        break;
    case retry::KeyState::mismatched:
        pending.verdict = lookup.verdict;
        break;
    default:
        pending.verdict = Verdict::mayHaveRun;
        break;
    }
    finishRefused(std::move(pending), m_context.refuse(account::RefusalReason::keyAlreadyUsed, internal::ruleOf(lookup.state)), now);
}

void EntryHandler::forward(Pending pending, const retry::KeyOwner &owner, const SteadyTime now)
{
    const membership::Member *const member = m_context.roster.find(owner.daemon);
    if (member == nullptr || member->incarnation != owner.incarnation || owner.daemon == m_context.self) {
        // Only the incarnation that owns the key knows the state of its request, and only it may run the request.
        const std::string rule = "the daemon that owns the key has gone, or is not known here";
        finishRefused(std::move(pending), m_context.refuse(account::RefusalReason::keyOwnerUnknown, rule), now);
        return;
    }
    pending.phase = Phase::forwarded;
    pending.server = owner.daemon;
    pending.attemptTrace = pending.trace;
    pending.sentAt = now;
    pending.attemptsOut = pending.attemptsLeft;
    pending.attemptsLeft = 0;
    protocol::CallRequest request = requestOf(pending, {++m_lastCall}, now);
    request.receiver = owner.incarnation;
    request.forOwner = true;
    const SteadyTime deadline = pending.deadline;
    addPending(request.call, std::move(pending), deadline);
    m_context.actions.emplace_back(SendToPeer{.to = owner.daemon, .endpoint = member->endpoint, .message = std::move(request)});
}

void EntryHandler::handleForwarded(const DaemonId &from, const Incarnation incarnation, const protocol::CallRequest &request, const SteadyTime now)
{
    Pending pending;
    pending.requester = PeerCall{.daemon = from, .incarnation = incarnation, .call = request.call};
    pending.knowledge = retry::KeyKnowledge::none;
    pending.call.service = request.service;
    pending.call.kind = request.kind;
    pending.call.method = request.method;
    pending.call.path = request.path;
    pending.call.headers = request.headers;
    pending.call.body = request.body;
    pending.call.key = request.key;
    pending.call.account = request.account;
    pending.root = request.root;
    pending.rank = request.rank;
    pending.rootCosts = request.rootCosts;
    pending.depth = request.depth;
    pending.scope = request.scope;
    pending.trace = account::childOf(request.trace, m_context.random);
    pending.parentSpanId = request.trace.spanId;
    pending.arrived = now;
    pending.deadline = now + request.remaining;
    pending.attemptsLeft = request.attemptsLent;
    std::optional<retry::RequestKey> key = retry::RequestKey::parse(request.key);
    if (!key.has_value() && m_grants != nullptr) {
        key = retry::RequestKey::parseUuid(request.key);
    }
    const retry::KeyOwner self{.daemon = m_context.self, .incarnation = m_context.incarnation};
    const bool isKnown = m_context.manifest != nullptr && m_context.manifest->findKind(request.service, request.kind) != nullptr;
    // Both the receiver and the owner named by the key are checked: either could be a previous incarnation of this daemon.
    if (request.receiver != m_context.incarnation || !key.has_value() || (!key->uuid().has_value() && key->owner() != self) || !isKnown) {
        const std::string rule = "the request was meant for an earlier life of this daemon, or for a kind not declared here";
        finishRefused(std::move(pending), m_context.refuse(account::RefusalReason::keyOwnerUnknown, rule), now);
        return;
    }
    handleOwnedKey(std::move(pending), *key, now);
}

void EntryHandler::handleOwnerAnswer(Pending pending, const protocol::CallAnswer &answer, const SteadyTime now)
{
    if (answer.verdict == Verdict::completed) {
        finish(std::move(pending), internal::replay({.status = answer.status, .headers = answer.headers, .body = answer.body}), now);
        return;
    }
    // The owner's verdict covers the key rather than one attempt, so it is passed on unchanged.
    pending.knowledge = retry::KeyKnowledge::owner;
    pending.verdict = answer.verdict;
    pending.nextKey = answer.nextKey;
    finishRefused(std::move(pending), answer.refusal.value_or(m_context.refuse(account::RefusalReason::serverLost, "no answer and no reason")), now);
}

void EntryHandler::tickGrants(const SteadyTime now)
{
    constexpr std::chrono::milliseconds interval{100};
    if (m_grants == nullptr || now - m_lastGrants < interval) {
        return;
    }
    m_lastGrants = now;
    m_preferredShards.update(m_context.roster);
    std::vector<store::Request> requests = m_grants->tick(m_context.clock.wallNow(), now, [this](const int shard) {
        return m_preferredShards.contains(shard);
    });
    for (store::Request &request : requests) {
        const store::RequestId id = m_context.sendToPlatform(request);
        m_grants->noteRequestSent(id, request);
    }
}

bool EntryHandler::handlePlatform(const PlatformAnswered &answered, const SteadyTime now)
{
    return m_grants != nullptr && m_grants->handleOutcome(answered.id, answered.outcome, now);
}

void EntryHandler::join(Pending pending)
{
    pending.phase = Phase::joined;
    const CallId call{++m_lastCall};
    m_joined[pending.call.key].push_back(call);
    const SteadyTime deadline = pending.deadline;
    addPending(call, std::move(pending), deadline);
}

void EntryHandler::releaseKey(const Pending &pending, CallerAnswer &answer)
{
    const retry::HeldAnswer held{.status = answer.status, .headers = answer.headers, .body = answer.body};
    ledgerOf(pending).end(pending.call.key, answer.verdict, held, pending.attemptsLeft);
    if (answer.verdict == Verdict::notRun) {
        answer.nextKey = internal::nextKeyOf(pending.call.key, pending.attemptsLeft);
    }
}

void EntryHandler::finishJoined(const std::string &key, const CallerAnswer &answer, const SteadyTime now)
{
    const auto found = m_joined.find(key);
    if (found == m_joined.end()) {
        return;
    }
    const std::vector<CallId> calls = std::move(found->second);
    m_joined.erase(found);
    for (const CallId call : calls) {
        const auto pending = m_pending.find(call);
        if (pending != m_pending.end()) {
            finish(removePending(pending), answer, now);
        }
    }
}

} // namespace egretlatch::decision
