#include <history/schedule.hpp>

#include <fmt/format.h>

#include <egretlatch/admission/static_gate.hpp>
#include <egretlatch/retry/request_key.hpp>

namespace history
{

namespace internal
{

using namespace egretlatch;

constexpr std::chrono::seconds warmUp{2};
constexpr std::chrono::seconds faultsEnd{12};
constexpr std::chrono::seconds scheduleEnd{30};
constexpr std::chrono::milliseconds tick{50};
constexpr int callersPerSchedule = 16;
constexpr int retryBudget = 2;
constexpr int slots = 2;
constexpr std::size_t queueCapacity = 4;
constexpr std::size_t nodesPerService = 3;
constexpr std::size_t smallLedger = 3;
constexpr std::size_t largeLedger = 1000;
constexpr int maxSends = 5;
constexpr double prematureNextKeyShare = 0.1;
constexpr int maxSkewMs = 3000;
// Short, so that many grants change owners within a schedule.
constexpr retry::GrantTimes grantTimes{
    .length = std::chrono::seconds{4}, .readInterval = std::chrono::milliseconds{600}, .retryInterval = std::chrono::milliseconds{150}};

[[nodiscard]] static manifest::KindSpec kindOf(std::string name, const bool idempotent)
{
    manifest::KindSpec kind;
    kind.name = std::move(name);
    kind.idempotent = idempotent;
    kind.deadline = std::chrono::milliseconds{1500};
    kind.retryBudget = retryBudget;
    return kind;
}

} // namespace internal

using namespace egretlatch;

std::shared_ptr<const manifest::Manifest> scheduleManifest()
{
    manifest::ServiceSpec log;
    log.name = "launch-log";
    log.slots = internal::slots;
    log.kinds = {internal::kindOf("launch-entry", false), internal::kindOf("statement", true), internal::kindOf("lookup", true)};
    manifest::ServiceSpec archive;
    archive.name = "archive";
    archive.slots = internal::slots;
    archive.kinds = {internal::kindOf("append", false)};
    return manifest::ManifestBuilder{}.addService(log).addService(archive).setHash("0000000000000001").build();
}

Schedule::Schedule(const std::uint64_t seed)
    : m_random{seed}
    , m_manifest{scheduleManifest()}
{
    m_history.retryBudget = internal::retryBudget;
    constexpr double maxShare = 0.08;
    m_faults.loss = m_random.fraction() * maxShare;
    m_faults.duplication = m_random.fraction() * maxShare * 2;
    m_faults.delayed = m_random.fraction() * maxShare * 2;
    m_faults.pauses = static_cast<int>(m_random.below(4));
    m_faults.crashes = static_cast<int>(m_random.below(4));
    m_faults.lostRuns = m_random.fraction() * maxShare * 2;
    m_faults.rejects = m_random.fraction() * maxShare * 4;
    m_faults.sendFailures = m_random.fraction() * maxShare;
    m_ledgerEntries = m_random.below(4) == 0 ? internal::smallLedger : internal::largeLedger;
    m_faults.lostPlatformAnswers = m_random.fraction() * maxShare * 4;
    m_faults.outages = static_cast<int>(m_random.below(3));
    m_faults.shutdowns = static_cast<int>(m_random.below(3));
    m_faults.drains = static_cast<int>(m_random.below(2));
    for (std::size_t index = 0; index < 2 * internal::nodesPerService; ++index) {
        Node node;
        node.id = {fmt::format("d{}", index)};
        node.service = index < internal::nodesPerService ? "launch-log" : "archive";
        m_nodes.push_back(std::move(node));
    }
}

const History &Schedule::run()
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        boot(index);
    }
    plan(internal::warmUp, [this] {
        m_isFaultFree = false;
        planFaults();
    });
    plan(internal::faultsEnd, [this] {
        m_isFaultFree = true;
    });
    for (int number = 0; number < internal::callersPerSchedule; ++number) {
        Caller caller;
        caller.number = number;
        const std::uint64_t kind = m_random.below(4);
        caller.service = "launch-log";
        caller.kind = kind < 2 ? "launch-entry" : (kind == 2 ? "statement" : "lookup");
        caller.idempotent = kind >= 2;
        caller.mintsOwnKeys = m_random.below(2) == 0;
        m_callers.push_back(caller);
        plan(internal::warmUp + between(0, 6000), [this, index = m_callers.size() - 1] {
            m_callers[index].idempotent ? send(index) : requestKey(index);
        });
    }
    const Time end = m_clock.steadyNow() + internal::scheduleEnd;
    while (!m_plan.empty() && m_plan.top().at <= end) {
        const Planned next = m_plan.top();
        m_plan.pop();
        if (next.at > m_clock.steadyNow()) {
            m_clock.advance(next.at - m_clock.steadyNow());
        }
        next.step();
    }
    return m_history;
}

void Schedule::plan(const Duration wait, Step step)
{
    m_plan.push({.at = m_clock.steadyNow() + wait, .order = ++m_order, .step = std::move(step)});
}

Duration Schedule::between(const int minMs, const int maxMs)
{
    return std::chrono::microseconds{static_cast<std::int64_t>(minMs) * 1000
                                     + static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(maxMs - minMs) * 1000 + 1))};
}

std::size_t Schedule::anyNode()
{
    return m_random.below(m_nodes.size());
}

void Schedule::boot(const std::size_t index)
{
    Node &node = m_nodes[index];
    node.incarnation = {++m_incarnations};
    node.random = std::make_unique<SeededRandom>(m_random.next());
    ++node.generation;
    membership::Member self;
    self.id = node.id;
    self.incarnation = node.incarnation;
    self.endpoint = "tcp://" + node.id.value;
    decision::CoreBuilder builder{m_clock, *node.random, m_metrics};
    builder.setSelf(self);
    builder.setKeyGrants(internal::grantTimes);
    builder.setKeyLedgerLimits({.entries = m_ledgerEntries, .answerBytes = 1000});
    builder.setGate(std::make_unique<admission::StaticGate>(internal::slots, internal::queueCapacity));
    for (const Node &other : m_nodes) {
        if (other.id != node.id) {
            builder.addContact({.id = other.id, .endpoint = "tcp://" + other.id.value});
        }
    }
    node.core = builder.build();
    // A starting daemon has no configuration at first.
    plan(between(0, 200), [this, index, generation = node.generation] {
        if (m_nodes[index].generation == generation) {
            handleEvent(index, decision::ManifestChanged{.version = 1, .manifest = m_manifest});
            announce(index);
        }
    });
    planTick(index, node.generation);
}

void Schedule::announce(const std::size_t index)
{
    m_nodes[index].instance = fmt::format("server {}", ++m_servers);
    repeatAnnouncement(index, m_nodes[index].generation, m_nodes[index].instance);
}

void Schedule::repeatAnnouncement(const std::size_t index, const int generation, const std::string &instance)
{
    const Node &node = m_nodes[index];
    if (node.generation != generation || node.instance != instance) {
        return;
    }
    handleEvent(index, decision::ServerAnnounced{.service = node.service, .slots = internal::slots, .connections = 100, .instance = instance});
    plan(std::chrono::seconds{1}, [this, index, generation, instance] {
        repeatAnnouncement(index, generation, instance);
    });
}

void Schedule::crash(const std::size_t index)
{
    // The node's backend server continues its runs; their answers are discarded.
    for (const auto &[exchange, entry] : m_entryOf) {
        if (entry == index) {
            m_history.exempt.push_back(exchange);
        }
    }
    m_nodes[index].pausedUntil = {};
    boot(index);
}

void Schedule::planFaults()
{
    const auto span = [this] {
        return between(0, 9000);
    };
    for (int count = 0; count < m_faults.pauses; ++count) {
        plan(span(), [this] {
            m_nodes[anyNode()].pausedUntil = m_clock.steadyNow() + between(50, 4000);
        });
    }
    for (int count = 0; count < m_faults.crashes; ++count) {
        plan(span(), [this] {
            crash(anyNode());
        });
    }
    for (int count = 0; count < m_faults.outages; ++count) {
        plan(span(), [this] {
            m_tableDownUntil = m_clock.steadyNow() + between(500, 6000);
        });
    }
    for (int count = 0; count < m_faults.shutdowns; ++count) {
        plan(span(), [this] {
            const std::size_t index = anyNode();
            handleEvent(index, decision::ServerDraining{.isShutdown = true});
            plan(between(500, 4000), [this, index] {
                crash(index);
            });
        });
    }
    for (int count = 0; count < m_faults.drains; ++count) {
        plan(span(), [this] {
            const std::size_t index = anyNode();
            handleEvent(index, decision::ServerDraining{});
            plan(between(100, 2000), [this, index] {
                announce(index);
            });
        });
    }
}

void Schedule::planTick(const std::size_t index, const int generation)
{
    const Node &node = m_nodes[index];
    const Duration wait = std::min<Duration>(std::max<Duration>(node.core->nextTick() - m_clock.steadyNow(), std::chrono::milliseconds{1}), internal::tick);
    const bool isBusy = wait < std::chrono::milliseconds{10};
    plan(isBusy ? wait : Duration{internal::tick}, [this, index, generation] {
        if (m_nodes[index].generation == generation) {
            handleEvent(index, decision::Tick{});
            planTick(index, generation);
        }
    });
}

void Schedule::handleEvent(const std::size_t index, decision::Event event)
{
    const Node &node = m_nodes[index];
    if (node.pausedUntil > m_clock.steadyNow()) {
        // A paused daemon handles queued events when it resumes, in order of arrival.
        plan(node.pausedUntil - m_clock.steadyNow(), [this, index, generation = node.generation, held = std::move(event)] {
            if (m_nodes[index].generation == generation) {
                handleEvent(index, held);
            }
        });
        return;
    }
    decision::Actions actions = m_nodes[index].core->handle(event);
    for (decision::Action &action : actions) {
        execute(index, action);
    }
}

void Schedule::execute(const std::size_t index, decision::Action &action)
{
    if (const auto *const send = std::get_if<decision::SendToPeer>(&action)) {
        transmit(index, *send);
    } else if (const auto *const start = std::get_if<decision::StartRun>(&action)) {
        startRun(index, *start);
    } else if (const auto *const toPlatform = std::get_if<decision::SendToPlatform>(&action)) {
        queryTable(index, *toPlatform);
    } else if (const auto *const answer = std::get_if<decision::AnswerCaller>(&action)) {
        handleAnswer(index, *answer);
    }
}

void Schedule::transmit(const std::size_t from, const decision::SendToPeer &send)
{
    if (const auto *const request = std::get_if<protocol::CallRequest>(&send.message)) {
        if (!request->forOwner) {
            ++m_history.attempts[request->trace.traceId];
        }
    }
    const auto target = std::find_if(m_nodes.begin(), m_nodes.end(), [&send](const Node &node) {
        return node.id == send.to;
    });
    if (target == m_nodes.end()) {
        return;
    }
    const std::size_t to = static_cast<std::size_t>(target - m_nodes.begin());
    const protocol::Envelope envelope{.sender = m_nodes[from].id, .incarnation = m_nodes[from].incarnation, .message = send.message};
    if (m_isFaultFree) {
        plan(between(1, 3), [this, to, envelope] {
            deliver(to, envelope);
        });
        return;
    }
    const auto *const callRequest = std::get_if<protocol::CallRequest>(&send.message);
    if (callRequest != nullptr && m_random.fraction() < m_faults.sendFailures) {
        plan(between(0, 2), [this, from, generation = m_nodes[from].generation, failed = decision::SendFailed{.to = send.to, .call = callRequest->call}] {
            if (m_nodes[from].generation == generation) {
                handleEvent(from, failed);
            }
        });
        return;
    }
    const int copies = m_random.fraction() < m_faults.loss ? 0 : (m_random.fraction() < m_faults.duplication ? 2 : 1);
    for (int copy = 0; copy < copies; ++copy) {
        const bool isDelayed = m_random.fraction() < m_faults.delayed;
        plan(isDelayed ? between(100, 5000) : between(1, 30), [this, to, envelope] {
            deliver(to, envelope);
        });
    }
}

void Schedule::deliver(const std::size_t to, const protocol::Envelope &envelope)
{
    // The message goes to the incarnation that currently listens at the address; a paused one reads it later.
    handleEvent(to, decision::PeerMessage{.envelope = envelope});
}

void Schedule::queryTable(const std::size_t index, const decision::SendToPlatform &toPlatform)
{
    const auto reply = [this, index, generation = m_nodes[index].generation, id = toPlatform.id](const store::Outcome &outcome) {
        if (m_nodes[index].generation == generation) {
            handleEvent(index, decision::PlatformAnswered{.id = id, .outcome = outcome});
        }
    };
    if (m_tableDownUntil > m_clock.steadyNow()) {
        plan(between(1, 200), [reply] {
            reply(tl::unexpected{Error{ErrorCode::unavailable, "down"}});
        });
        return;
    }
    const bool isLost = !m_isFaultFree && m_random.fraction() < m_faults.lostPlatformAnswers;
    if (!isLost) {
        plan(between(1, 10), [this, reply, request = toPlatform.request] {
            reply(m_table.apply(request));
        });
        return;
    }
    // The write may take effect before the request times out, long after it, or not at all.
    const Duration effect = between(1, 3000);
    const bool isDone = m_random.fraction() < 0.7;
    plan(effect, [this, isDone, request = toPlatform.request] {
        if (isDone) {
            static_cast<void>(m_table.apply(request));
        }
    });
    plan(std::chrono::milliseconds{500}, [reply] {
        reply(tl::unexpected{Error{ErrorCode::timedOut, "no answer"}});
    });
}

void Schedule::startRun(const std::size_t index, const decision::StartRun &start)
{
    auto run = std::make_shared<Run>();
    run->node = index;
    run->generation = m_nodes[index].generation;
    run->execution = start.execution;
    run->request = start.request;
    run->logicalId = start.request.body.toStdString();
    if (!m_isFaultFree && m_random.fraction() < m_faults.rejects) {
        plan(between(1, 3), [this, run] {
            if (m_nodes[run->node].generation == run->generation) {
                handleEvent(run->node, decision::RunEnded{.execution = run->execution, .result = decision::RunFailure::rejected});
            }
        });
        return;
    }
    const bool isIdempotent = m_manifest->findKind(m_nodes[index].service, start.request.kind)->idempotent;
    run->answer = fmt::format("{} by run {}", run->logicalId, ++m_runs);
    run->isLost = !m_isFaultFree && m_random.fraction() < m_faults.lostRuns;
    m_history.ran.push_back({.service = m_nodes[index].service,
                             .kind = start.request.kind,
                             .key = start.request.key,
                             .logicalId = run->logicalId,
                             .idempotent = isIdempotent,
                             .answer = run->answer});
    plan(between(1, 40), [this, run] {
        stepRun(run);
    });
}

void Schedule::stepRun(const RunPtr &run)
{
    const bool callsArchive = run->request.kind == "launch-entry" || run->request.kind == "statement";
    const bool hasDied = m_nodes[run->node].generation != run->generation;
    if (!callsArchive || run->nextCall >= 1 || hasDied) {
        endRun(run);
        return;
    }
    ++run->nextCall;
    ++m_history.innerCalls[run->request.trace.traceId];
    const int exchange = ++m_exchanges;
    decision::CallerCall call;
    call.service = "archive";
    call.kind = "append";
    call.method = "POST";
    call.path = "/";
    call.body = QByteArray::fromStdString(run->logicalId);
    call.runToken = run->request.runToken;
    m_innerOf[exchange] = run;
    m_entryOf[exchange] = run->node;
    handleEvent(run->node, decision::CallArrived{.exchange = {static_cast<std::uint64_t>(exchange)}, .call = call});
}

void Schedule::endRun(const RunPtr &run)
{
    if (m_nodes[run->node].generation != run->generation) {
        return;
    }
    if (run->isLost) {
        handleEvent(run->node, decision::RunEnded{.execution = run->execution, .result = decision::RunFailure::lost});
        return;
    }
    decision::RunAnswer answer;
    answer.status = 200;
    answer.body = QByteArray::fromStdString(run->answer);
    handleEvent(run->node, decision::RunEnded{.execution = run->execution, .result = answer});
}

void Schedule::handleAnswer(const std::size_t /*index*/, const decision::AnswerCaller &answer)
{
    const int exchange = static_cast<int>(answer.exchange.value);
    m_entryOf.erase(exchange);
    if (const auto inner = m_innerOf.find(exchange); inner != m_innerOf.end()) {
        const RunPtr run = inner->second;
        m_innerOf.erase(inner);
        plan(between(0, 3), [this, run] {
            stepRun(run);
        });
        return;
    }
    if (const auto keyRequest = m_keyRequestOf.find(exchange); keyRequest != m_keyRequestOf.end()) {
        const std::size_t caller = keyRequest->second;
        m_keyRequestOf.erase(keyRequest);
        if (answer.answer.verdict == Verdict::completed && m_callers[caller].key.empty()) {
            const std::string body = answer.answer.body.toStdString();
            const std::size_t start = body.find("el1-");
            m_callers[caller].key = body.substr(start, body.rfind('"') - start);
            plan(between(1, 50), [this, caller] {
                send(caller);
            });
        }
        return;
    }
    const auto found = m_callerOf.find(exchange);
    if (found == m_callerOf.end()) {
        return;
    }
    const std::string reason = answer.answer.refusal.has_value() ? std::string{account::toString(answer.answer.refusal->reason)} : std::string{};
    m_history.answered.push_back({.exchange = exchange, .verdict = answer.answer.verdict, .reason = reason, .body = answer.answer.body.toStdString()});
    handleCallerAnswer(found->second, exchange, answer.answer);
}

void Schedule::requestKey(const std::size_t caller)
{
    if (!m_callers[caller].key.empty()) {
        return;
    }
    if (m_callers[caller].mintsOwnKeys) {
        const auto skew = std::chrono::duration_cast<WallTime::duration>(between(0, 2 * internal::maxSkewMs)) - std::chrono::milliseconds{internal::maxSkewMs};
        m_callers[caller].key = UuidGenerator{m_random}.generate(m_clock.wallNow() + skew).toString();
        send(caller);
        return;
    }
    const int exchange = ++m_exchanges;
    m_keyRequestOf[exchange] = caller;
    handleEvent(anyNode(), decision::KeyRequested{.exchange = {static_cast<std::uint64_t>(exchange)}, .service = "launch-log", .kind = "launch-entry"});
    plan(std::chrono::milliseconds{500}, [this, caller] {
        requestKey(caller);
    });
}

void Schedule::send(const std::size_t index)
{
    Caller &caller = m_callers[index];
    if (caller.isDone || caller.sends >= internal::maxSends) {
        return;
    }
    ++caller.sends;
    const int exchange = ++m_exchanges;
    const std::size_t entry = anyNode();
    // A resend with a key is the same request; a resend without a key is a new one.
    const std::string logicalId = caller.idempotent ? fmt::format("q{}.{}", caller.number, exchange) : fmt::format("q{}", caller.number);
    decision::CallerCall call;
    call.service = caller.service;
    call.kind = caller.kind;
    call.method = "POST";
    call.path = "/";
    call.body = QByteArray::fromStdString(logicalId);
    call.key = caller.key;
    caller.open = exchange;
    m_callerOf[exchange] = index;
    m_entryOf[exchange] = entry;
    m_history.sent.push_back({.exchange = exchange, .key = caller.key, .logicalId = logicalId, .idempotent = caller.idempotent});
    handleEvent(entry, decision::CallArrived{.exchange = {static_cast<std::uint64_t>(exchange)}, .call = call});
    plan(between(300, 2500), [this, index, exchange, entry] {
        if (m_callers[index].open != exchange) {
            return;
        }
        m_callers[index].open = -1;
        m_history.exempt.push_back(exchange);
        auto key = retry::RequestKey::parse(m_callers[index].key);
        key = key.has_value() ? key : retry::RequestKey::parseUuid(m_callers[index].key);
        if (key.has_value() && m_random.fraction() < internal::prematureNextKeyShare) {
            // The caller uses the next key although the previous one was not answered as not-run.
            m_callers[index].key = key->next().text();
        }
        handleEvent(entry, decision::CallerGone{.exchange = {static_cast<std::uint64_t>(exchange)}});
        resendOrStop(index, 0.8);
    });
}

void Schedule::handleCallerAnswer(const std::size_t index, const int exchange, const decision::CallerAnswer &answer)
{
    Caller &caller = m_callers[index];
    if (caller.open != exchange) {
        return;
    }
    caller.open = -1;
    if (answer.verdict == Verdict::completed) {
        caller.isDone = m_random.fraction() < 0.7;
        resendOrStop(index, 1.0);
        return;
    }
    if (answer.verdict == Verdict::notRun && !caller.idempotent) {
        if (answer.nextKey.empty()) {
            caller.isDone = true;
            return;
        }
        caller.key = answer.nextKey;
    }
    resendOrStop(index, 0.7);
}

void Schedule::resendOrStop(const std::size_t index, const double share)
{
    if (m_random.fraction() >= share) {
        m_callers[index].isDone = true;
        return;
    }
    plan(between(1, 400), [this, index] {
        send(index);
    });
}

} // namespace history
