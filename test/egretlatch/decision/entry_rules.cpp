#include <doctest/doctest.h>

#include <algorithm>

#include <fakes/counting_metrics.hpp>
#include <fakes/manual_clock.hpp>
#include <fakes/roster_fleet.hpp>

#include <egretlatch/decision/core.hpp>

using namespace egretlatch;
using namespace egretlatch::decision;
using namespace std::chrono_literals;

namespace
{

constexpr Incarnation selfLife{100};
constexpr Incarnation peerLife{200};
constexpr double slack = 40.0;

[[nodiscard]] std::shared_ptr<const manifest::Manifest> rosterManifest()
{
    manifest::KindSpec read;
    read.deadline = 1000ms;
    read.retryBudget = 1;
    return fakes::rosterManifest(read);
}

// One entry daemon that counts only what reaches a backend server, and three serving daemons.
struct Fixture
{
    Fixture()
    {
        membership::Member self;
        self.id = {"entry"};
        self.incarnation = selfLife;
        core = CoreBuilder{clock, random, metrics}
                   .setSelf(self)
                   .setUnownedKeys(retry::UnownedKeys::notNeeded)
                   .setEntryRules({.countsOnlyArrivals = true, .retrySlack = slack, .traces = false})
                   .build();
        static_cast<void>(core->handle(ManifestChanged{.version = 1, .manifest = rosterManifest()}));
        static_cast<void>(handleFrom({"left"}, fakes::rosterGossip({"left", "middle", "right"}, peerLife)));
        // The part of the fleet's slack that is this daemon's is known from then on.
        static_cast<void>(core->handle(Tick{}));
    }

    Actions handleFrom(const DaemonId &sender, const protocol::Message &message)
    {
        return core->handle(PeerMessage{.envelope = {.sender = sender, .incarnation = peerLife, .message = message}});
    }

    Actions arrive(const std::string &kind)
    {
        CallerCall call;
        call.service = "roster";
        call.kind = kind;
        call.method = "GET";
        call.path = "/";
        return core->handle(CallArrived{.exchange = {1}, .call = call});
    }

    Actions answer(const SendToPeer &sent, const protocol::CallAnswer &given)
    {
        protocol::CallAnswer answer = given;
        answer.call = std::get<protocol::CallRequest>(sent.message).call;
        answer.receiver = selfLife;
        return handleFrom(sent.to, answer);
    }

    [[nodiscard]] static const SendToPeer *attemptIn(const Actions &actions)
    {
        for (const Action &action : actions) {
            const auto *const send = std::get_if<SendToPeer>(&action);
            if (send != nullptr && std::holds_alternative<protocol::CallRequest>(send->message)) {
                return send;
            }
        }
        return nullptr;
    }

    [[nodiscard]] static bool isAnswered(const Actions &actions)
    {
        return std::any_of(actions.begin(), actions.end(), [](const Action &action) {
            return std::holds_alternative<AnswerCaller>(action);
        });
    }

    fakes::ManualClock clock;
    SeededRandom random{1};
    fakes::CountingMetrics metrics;
    std::unique_ptr<Core> core;
};

[[nodiscard]] protocol::CallAnswer refusal(const account::RefusalReason reason, const Verdict verdict)
{
    protocol::CallAnswer answer;
    answer.verdict = verdict;
    answer.refusal = account::Refusal{.id = {}, .reason = reason, .rule = "rule", .figures = {}, .retryAfter = {}, .configurationVersion = 1};
    answer.status = account::httpStatus(reason);
    return answer;
}

[[nodiscard]] protocol::CallAnswer serverError(const bool hasFailedBelow)
{
    protocol::CallAnswer answer;
    answer.verdict = Verdict::completed;
    answer.status = 500;
    answer.hasFailedBelow = hasFailedBelow;
    return answer;
}

} // namespace

TEST_CASE("a call that a leaving server's daemon turns away goes to another daemon at once")
{
    // Launch entries fail while servers are replaced one after the other. Each entry daemon learns of a leaving server a
    // moment later than its own daemon, and what it sent meanwhile came back refused although nothing had run.
    Fixture fixture;
    const Actions first = fixture.arrive("entry");
    const SendToPeer *const sent = Fixture::attemptIn(first);
    REQUIRE(sent != nullptr);
    const Actions second = fixture.answer(*sent, refusal(account::RefusalReason::draining, Verdict::notRun));
    CHECK_FALSE(Fixture::isAnswered(second));
    const SendToPeer *const moved = Fixture::attemptIn(second);
    REQUIRE(moved != nullptr);
    CHECK(moved->to != sent->to);
}

TEST_CASE("what may have run is not sent to a second server unless it is idempotent")
{
    Fixture fixture;
    const Actions first = fixture.arrive("entry");
    const Actions second = fixture.answer(*Fixture::attemptIn(first), refusal(account::RefusalReason::serverLost, Verdict::mayHaveRun));
    CHECK(Fixture::isAnswered(second));
    CHECK(Fixture::attemptIn(second) == nullptr);
}

TEST_CASE("a failure that a server brings about by itself is tried at another one, once")
{
    // A fifth of the roster reads fail at one server of four that says it is healthy, for as long as it does.
    Fixture fixture;
    const Actions first = fixture.arrive("read");
    const SendToPeer *const sent = Fixture::attemptIn(first);
    const Actions second = fixture.answer(*sent, serverError(false));
    CHECK_FALSE(Fixture::isAnswered(second));
    const SendToPeer *const again = Fixture::attemptIn(second);
    REQUIRE(again != nullptr);
    CHECK(again->to != sent->to);
    const Actions third = fixture.answer(*again, serverError(false));
    CHECK(Fixture::isAnswered(third));
    CHECK(Fixture::attemptIn(third) == nullptr);
}

TEST_CASE("a failure from below is passed on, and so is one of a request that may not be repeated")
{
    // The deepest service is full, and each service above runs its requests twice: the load multiplies with each hop.
    Fixture fixture;
    const Actions below = fixture.arrive("read");
    CHECK(Fixture::isAnswered(fixture.answer(*Fixture::attemptIn(below), serverError(true))));
    const Actions entry = fixture.arrive("entry");
    CHECK(Fixture::isAnswered(fixture.answer(*Fixture::attemptIn(entry), serverError(false))));
}

TEST_CASE("retries stay within this daemon's part of what the fleet may repeat")
{
    // All servers of a service fail all they run. Each daemon repeats a few, and sixteen daemons together more than the
    // service takes, although each kept to a bound of its own.
    Fixture fixture;
    int repeated = 0;
    constexpr int requests = 400;
    for (int request = 0; request < requests; ++request) {
        const Actions first = fixture.arrive("read");
        const Actions second = fixture.answer(*Fixture::attemptIn(first), serverError(false));
        if (const SendToPeer *const again = Fixture::attemptIn(second)) {
            ++repeated;
            static_cast<void>(fixture.answer(*again, serverError(false)));
        }
    }
    constexpr int daemons = 4;
    const double ratio = manifest::ServiceSpec{}.retryRatio;
    MESSAGE("repeated: ", repeated, " of ", requests);
    CHECK(repeated <= slack / daemons + ratio * requests + 1);
    CHECK(repeated > 0);
}

namespace
{

// A daemon whose server has one slot, and leaves.
struct LeavingServer
{
    LeavingServer()
    {
        membership::Member self;
        self.id = {"server"};
        self.incarnation = selfLife;
        core = CoreBuilder{clock, random, metrics}
                   .setSelf(self)
                   .setUnownedKeys(retry::UnownedKeys::notNeeded)
                   .setDrainTimes({.afterReport = 800ms, .afterSignal = 1500ms, .lastStart = 1600ms})
                   .build();
        static_cast<void>(core->handle(ManifestChanged{.version = 1, .manifest = rosterManifest()}));
        static_cast<void>(core->handle(ServerAnnounced{.service = "roster", .slots = 1, .connections = 10, .instance = "i"}));
    }

    Actions offer()
    {
        protocol::CallRequest request;
        request.call = {++number};
        request.service = "roster";
        request.kind = "read";
        request.remaining = 10s;
        request.receiver = selfLife;
        return core->handle(PeerMessage{.envelope = {.sender = {"entry"}, .incarnation = peerLife, .message = request}});
    }

    void pass(const Duration span)
    {
        clock.advance(span);
        static_cast<void>(core->handle(Tick{}));
    }

    Actions end(const Actions &started)
    {
        ExecutionId running;
        for (const Action &action : started) {
            if (const auto *const start = std::get_if<StartRun>(&action)) {
                running = start->execution;
            }
        }
        return core->handle(RunEnded{.execution = running, .result = RunAnswer{.status = 200, .headers = {}, .body = {}}});
    }

    static auto startsIn(const Actions &actions)
    {
        return std::count_if(actions.begin(), actions.end(), [](const Action &action) {
            return std::holds_alternative<StartRun>(action);
        });
    }

    fakes::ManualClock clock;
    SeededRandom random{1};
    fakes::CountingMetrics metrics;
    std::unique_ptr<Core> core;
    std::uint64_t number{};
};

} // namespace

TEST_CASE("a leaving server's door stays open for its time and no longer")
{
    // A service whose last server leaves refuses all its callers seconds before the server has to stop. Its daemon closed
    // the door with the first word of it.
    LeavingServer server;
    static_cast<void>(server.core->handle(ServerDraining{}));
    server.pass(700ms);
    const Actions taken = server.offer();
    REQUIRE(LeavingServer::startsIn(taken) == 1);
    static_cast<void>(server.offer());
    server.pass(100ms);
    CHECK(LeavingServer::startsIn(server.offer()) == 0);
    // What waited for the one slot is not started after the last start, also when the slot falls free.
    server.pass(800ms);
    CHECK(LeavingServer::startsIn(server.end(taken)) == 0);
}

TEST_CASE("a daemon that stood still starts nothing, on waking, at a server that has left meanwhile")
{
    LeavingServer server;
    const Actions taken = server.offer();
    static_cast<void>(server.offer());
    static_cast<void>(server.core->handle(ServerDraining{}));
    server.clock.advance(3s);
    CHECK(LeavingServer::startsIn(server.end(taken)) == 0);
    CHECK(LeavingServer::startsIn(server.offer()) == 0);
}

TEST_CASE("a repeat is told of as one, and so is each call of a run that repeats one")
{
    // The deepest service gets more repeats than the fleet may make: each daemon bounds what it repeats itself, and takes the
    // calls of a run that is made again for first ones.
    Fixture fixture;
    const Actions first = fixture.arrive("read");
    const SendToPeer attempt = *Fixture::attemptIn(first);
    CHECK(!std::get<protocol::CallRequest>(attempt.message).isRepeat);
    const Actions second = fixture.answer(attempt, serverError(false));
    REQUIRE(Fixture::attemptIn(second) != nullptr);
    CHECK(std::get<protocol::CallRequest>(Fixture::attemptIn(second)->message).isRepeat);

    static_cast<void>(fixture.core->handle(ServerAnnounced{.service = "roster", .slots = 4, .connections = 4, .instance = "i"}));
    protocol::CallRequest run = std::get<protocol::CallRequest>(attempt.message);
    run.receiver = selfLife;
    run.isRepeat = true;
    const Actions started = fixture.handleFrom({"left"}, run);
    const auto start = std::find_if(started.begin(), started.end(), [](const Action &action) {
        return std::holds_alternative<StartRun>(action);
    });
    REQUIRE(start != started.end());
    int seen = 0;
    for (std::uint64_t exchange = 10; exchange < 30; ++exchange) {
        CallerCall call;
        call.service = "roster";
        call.kind = "read";
        call.method = "GET";
        call.path = "/";
        call.runToken = std::get<StartRun>(*start).request.runToken;
        const Actions sent = fixture.core->handle(CallArrived{.exchange = {exchange}, .call = call});
        if (const SendToPeer *const inner = Fixture::attemptIn(sent)) {
            CHECK(std::get<protocol::CallRequest>(inner->message).isRepeat);
            ++seen;
        }
    }
    CHECK(seen > 0);
}
