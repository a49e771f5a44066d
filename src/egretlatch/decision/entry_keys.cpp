// The part of EntryHandler that deals with request keys: who owns one, and what became of it.

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

// Two requests under one key are told apart by everything that the backend server gets to see of them.
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

// The key stays closed after not-run: an attempt that was sent before, and that is still under way somewhere, then never
// starts. A resend is told from it by a key of its own.
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
    if (m_surroundings.manifest == nullptr || m_surroundings.manifest->findKind(requested.service, requested.kind) == nullptr) {
        answer.status = internal::notFoundStatus;
        answer.requestError = fmt::format("no service and kind {}/{} is declared", requested.service, requested.kind);
    } else if (isDraining) {
        // The key's owner would soon be gone, and its requests refused as may-have-run.
        answer.refusal = m_surroundings.refuse(account::RefusalReason::draining, "a daemon that is leaving mints no keys");
        answer.status = account::httpStatus(answer.refusal->reason);
    } else {
        const retry::KeyOwner self{.daemon = m_surroundings.self, .incarnation = m_surroundings.incarnation};
        const retry::RequestKey key = retry::RequestKey::mint(self, ageOf(now), m_surroundings.random);
        answer.verdict = Verdict::completed;
        answer.status = internal::created;
        answer.headers.push_back({.name = "Content-Type", .value = "application/json"});
        QJsonObject document;
        document[u"key"] = QString::fromStdString(key.text());
        answer.body = QJsonDocument{document}.toJson(QJsonDocument::Compact);
    }
    m_surroundings.actions.emplace_back(AnswerCaller{.exchange = requested.exchange, .answer = std::move(answer)});
}

std::chrono::milliseconds EntryHandler::ageOf(const SteadyTime now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_surroundings.born);
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
    // Calls that are alike are told apart by their order, so a run that is made again repeats its keys as long as it makes
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
    // A backend server's own key for an inner call need not name an owner: the root's owner stands for all of its calls.
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
    if (!key.has_value() && m_surroundings.unownedKeys == retry::UnownedKeys::entryMemory) {
        ownUnnamed(std::move(pending), now);
        return;
    }
    pending.knowledge = retry::KeyKnowledge::none;
    if (!key.has_value()) {
        const std::string rule = m_grants == nullptr
            ? "the key names no owner, and no platform is set to tell one; mint one by POST /keys/{service}/{kind}"
            : "the key names no owner and carries no time; use a version 7 UUID, or mint one by POST /keys/{service}/{kind}";
        finishRefused(std::move(pending), m_surroundings.refuse(account::RefusalReason::keyOwnerUnknown, rule), now);
        return;
    }
    pending.call.key = key->text();
    if (!key->uuid().has_value()) {
        pending.scope = key->text();
    }
    if (key->owner() == retry::KeyOwner{.daemon = m_surroundings.self, .incarnation = m_surroundings.incarnation}) {
        own(std::move(pending), *key, now);
        return;
    }
    forward(std::move(pending), key->owner(), now);
}

retry::KeyLedger &EntryHandler::ledgerOf(const Pending &pending)
{
    return pending.isGranted ? m_grantedLedger : m_ledger;
}

void EntryHandler::ownUnnamed(Pending pending, const SteadyTime now)
{
    const std::uint64_t request = internal::hashOf(pending.call);
    pending.knowledge = retry::KeyKnowledge::owner;
    retry::KeyLookup finding = m_ledger.find(pending.call.key, ageOf(now), request);
    if (finding.state == retry::KeyState::closed && finding.attemptsLeft > 0) {
        pending.attemptsLeft = std::min(pending.attemptsLeft, finding.attemptsLeft - 1);
        m_ledger.reopen(pending.call.key);
        finding = {.state = retry::KeyState::fresh};
    }
    // A key that carries no age counts as new when it is not known; that is what makes this rule unsafe in general.
    if (finding.state == retry::KeyState::fresh || finding.state == retry::KeyState::forgotten) {
        beginOwned(std::move(pending), ageOf(now), request, now);
        return;
    }
    answerFinding(std::move(pending), finding, now);
}

void EntryHandler::own(Pending pending, const retry::RequestKey &key, const SteadyTime now)
{
    const std::uint64_t request = internal::hashOf(pending.call);
    pending.knowledge = retry::KeyKnowledge::owner;
    // The table grants a key by its time; what this life has given up it does not run, whatever other daemons still read.
    if (key.uuid().has_value() && !m_grants->owns(*key.uuid())) {
        pending.knowledge = retry::KeyKnowledge::none;
        finishRefused(std::move(pending), m_surroundings.refuse(account::RefusalReason::keyOwnerUnknown, "the key was not granted to this daemon"), now);
        return;
    }
    if (!key.uuid().has_value() && key.age() > ageOf(now)) {
        // Never minted here: entered, it would be the last to be forgotten and close all younger keys before its turn.
        finishRefused(std::move(pending), m_surroundings.refuse(account::RefusalReason::keyOwnerUnknown, "the key was not minted by its owner"), now);
        return;
    }
    pending.isGranted = key.uuid().has_value();
    retry::KeyLedger &ledger = ledgerOf(pending);
    const retry::KeyLookup finding = ledger.find(key.text(), key.age(), request);
    if (finding.state != retry::KeyState::fresh) {
        answerFinding(std::move(pending), finding, now);
        return;
    }
    if (inheritAttempts(pending, key, request)) {
        beginOwned(std::move(pending), key.age(), request, now);
        return;
    }
    // A key whose predecessor still runs is not closed by this refusal, so it might run later.
    const bool isSpent = ledger.find(key.previous()->text(), key.age(), request).state == retry::KeyState::closed;
    pending.verdict = isSpent ? Verdict::notRun : Verdict::mayHaveRun;
    const std::string rule = "the resends of this request are used up, or the key before this one was not refused as not run";
    finishRefused(std::move(pending), m_surroundings.refuse(account::RefusalReason::retryBudgetSpent, rule), now);
}

bool EntryHandler::inheritAttempts(Pending &pending, const retry::RequestKey &key, const std::uint64_t request)
{
    const std::optional<retry::RequestKey> previous = key.previous();
    if (!previous.has_value()) {
        return true;
    }
    const retry::KeyLookup before = ledgerOf(pending).find(previous->text(), previous->age(), request);
    if (before.state != retry::KeyState::closed || before.attemptsLeft <= 0) {
        return false;
    }
    // A resend by the caller is one more attempt of the same request, paid from what the last one left over.
    pending.attemptsLeft = std::min(pending.attemptsLeft, before.attemptsLeft - 1);
    return true;
}

void EntryHandler::beginOwned(Pending pending, const std::chrono::milliseconds age, const std::uint64_t request, const SteadyTime now)
{
    ledgerOf(pending).begin(pending.call.key, age, request);
    pending.holdsKey = true;
    admit(std::move(pending), now);
}

void EntryHandler::answerFinding(Pending pending, const retry::KeyLookup &finding, const SteadyTime now)
{
    switch (finding.state) {
    case retry::KeyState::running:
        join(std::move(pending));
        return;
    case retry::KeyState::answered:
        m_surroundings.metrics.count("key_replays", pending.call.service);
        finish(std::move(pending), internal::replay(*finding.answer), now);
        return;
    case retry::KeyState::closed:
        pending.verdict = Verdict::notRun;
        pending.nextKey = internal::nextKeyOf(pending.call.key, finding.attemptsLeft);
        break;
    case retry::KeyState::mismatched:
        pending.verdict = finding.verdict;
        break;
    default:
        pending.verdict = Verdict::mayHaveRun;
        break;
    }
    finishRefused(std::move(pending), m_surroundings.refuse(account::RefusalReason::keyAlreadyUsed, internal::ruleOf(finding.state)), now);
}

void EntryHandler::forward(Pending pending, const retry::KeyOwner &owner, const SteadyTime now)
{
    const membership::Member *const member = m_surroundings.roster.find(owner.daemon);
    if (member == nullptr || member->incarnation != owner.incarnation || owner.daemon == m_surroundings.self) {
        // The life that owns the key is the only one that knows what became of it, and the only one that may run it.
        const std::string rule = "the daemon that owns the key has gone, or is not known here";
        finishRefused(std::move(pending), m_surroundings.refuse(account::RefusalReason::keyOwnerUnknown, rule), now);
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
    keep(request.call, std::move(pending), deadline);
    m_surroundings.actions.emplace_back(SendToPeer{.to = owner.daemon, .endpoint = member->endpoint, .message = std::move(request)});
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
    pending.root = request.root;
    pending.rank = request.rank;
    pending.rootCosts = request.rootCosts;
    pending.depth = request.depth;
    pending.scope = request.scope;
    pending.trace = account::childOf(request.trace, m_surroundings.random);
    pending.parentSpanId = request.trace.spanId;
    pending.arrived = now;
    pending.deadline = now + request.remaining;
    pending.attemptsLeft = request.attemptsLent;
    std::optional<retry::RequestKey> key = retry::RequestKey::parse(request.key);
    if (!key.has_value() && m_grants != nullptr) {
        key = retry::RequestKey::parseUuid(request.key);
    }
    const retry::KeyOwner self{.daemon = m_surroundings.self, .incarnation = m_surroundings.incarnation};
    const bool isKnown = m_surroundings.manifest != nullptr && m_surroundings.manifest->findKind(request.service, request.kind) != nullptr;
    // The receiver and the owner named by the key are both checked: either alone could be an earlier life of this daemon.
    if (request.receiver != m_surroundings.incarnation || !key.has_value() || (!key->uuid().has_value() && key->owner() != self) || !isKnown) {
        const std::string rule = "the request was meant for an earlier life of this daemon, or for a kind not declared here";
        finishRefused(std::move(pending), m_surroundings.refuse(account::RefusalReason::keyOwnerUnknown, rule), now);
        return;
    }
    own(std::move(pending), *key, now);
}

void EntryHandler::handleOwnerAnswer(Pending pending, const protocol::CallAnswer &answer, const SteadyTime now)
{
    if (answer.verdict == Verdict::completed) {
        finish(std::move(pending), internal::replay({.status = answer.status, .headers = answer.headers, .body = answer.body}), now);
        return;
    }
    // The owner speaks of the key, not of an attempt, so its verdict is passed on as it is.
    pending.knowledge = retry::KeyKnowledge::owner;
    pending.verdict = answer.verdict;
    pending.nextKey = answer.nextKey;
    finishRefused(std::move(pending), answer.refusal.value_or(m_surroundings.refuse(account::RefusalReason::serverLost, "no answer and no reason")), now);
}

void EntryHandler::tickGrants(const SteadyTime now)
{
    constexpr std::chrono::milliseconds interval{100};
    if (m_grants == nullptr || now - m_lastGrants < interval) {
        return;
    }
    m_lastGrants = now;
    m_preferredShards.update(m_surroundings.roster);
    std::vector<store::Request> requests = m_grants->tick(m_surroundings.clock.wallNow(), now, [this](const int shard) {
        return m_preferredShards.contains(shard);
    });
    for (store::Request &request : requests) {
        const store::RequestId id = m_surroundings.askPlatform(request);
        m_grants->noteRequestSent(id, request);
    }
}

bool EntryHandler::handlePlatform(const PlatformAnswered &answered, const SteadyTime now)
{
    return m_grants != nullptr && m_grants->take(answered.id, answered.outcome, now);
}

void EntryHandler::join(Pending pending)
{
    pending.phase = Phase::joined;
    const CallId call{++m_lastCall};
    m_joined[pending.call.key].push_back(call);
    const SteadyTime deadline = pending.deadline;
    keep(call, std::move(pending), deadline);
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
            finish(take(pending), answer, now);
        }
    }
}

} // namespace egretlatch::decision
