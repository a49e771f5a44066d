#include <doctest/doctest.h>

#include <algorithm>

#include <fakes/counting_metrics.hpp>
#include <fakes/manual_clock.hpp>

#include <egretlatch/decision/core.hpp>

using namespace std::chrono_literals;
using namespace egretlatch;
using namespace egretlatch::decision;
using egretlatch::membership::MemberState;

namespace
{

constexpr std::uint64_t seed = 1;
constexpr Incarnation peerIncarnation{200};

[[nodiscard]] std::shared_ptr<const manifest::Manifest> rosterManifest(const int retryBudget)
{
    manifest::KindSpec read;
    read.name = "read";
    read.priority = 5;
    read.worth = 1;
    read.deadline = 20s;
    read.retryBudget = retryBudget;
    manifest::ServiceSpec service;
    service.name = "roster";
    service.slots = 2;
    service.connections = 10;
    service.kinds = {read};
    return manifest::ManifestBuilder{}.addService(service).build();
}

// A daemon with its backend server, and one other daemon of the service.
struct DaemonFixture
{
    explicit DaemonFixture(const int retryBudget = 0)
    {
        membership::Member self;
        self.id = {"self"};
        self.incarnation = {100};
        core = CoreBuilder{clock, random, metrics}.setSelf(self).addContact({.id = {"other"}, .endpoint = "tcp://other"}).build();
        static_cast<void>(core->handle(ManifestChanged{.version = 1, .manifest = rosterManifest(retryBudget)}));
    }

    // Receives gossip from another daemon that its server is serving.
    void addPeer(const std::string &id = "other")
    {
        membership::Member other;
        other.id = {id};
        other.incarnation = peerIncarnation;
        other.state = MemberState::serving;
        other.service = "roster";
        other.slots = 2;
        other.endpoint = "tcp://other";
        protocol::Gossip gossip;
        gossip.members = {other};
        static_cast<void>(core->handle(PeerMessage{.envelope = {.sender = other.id, .incarnation = peerIncarnation, .message = gossip}}));
    }

    void announce(const std::string &instance = {})
    {
        static_cast<void>(core->handle(ServerAnnounced{.service = "roster", .slots = 2, .connections = 10, .instance = instance}));
    }

    // Advances the time in steps, with an announcement before each tick if keepsAnnouncing is set.
    Actions advance(const Duration span, const bool keepsAnnouncing)
    {
        constexpr std::chrono::milliseconds step{500};
        Actions all;
        for (Duration passed{}; passed < span; passed += step) {
            clock.advance(step);
            if (keepsAnnouncing) {
                announce();
            }
            for (Action &action : core->handle(Tick{})) {
                all.push_back(std::move(action));
            }
        }
        return all;
    }

    [[nodiscard]] Actions arrive(const std::uint64_t exchange)
    {
        CallerCall call;
        call.service = "roster";
        call.kind = "read";
        call.method = "GET";
        call.path = "/";
        return core->handle(CallArrived{.exchange = {exchange}, .call = call});
    }

    template<typename Type>
    [[nodiscard]] static const Type *find(const Actions &actions)
    {
        for (const Action &action : actions) {
            if (const auto *const found = std::get_if<Type>(&action)) {
                return found;
            }
        }
        return nullptr;
    }

    [[nodiscard]] MemberState state() const
    {
        return core->roster().self().state;
    }

    fakes::ManualClock clock;
    SeededRandom random{seed};
    fakes::CountingMetrics metrics;
    std::unique_ptr<Core> core;
};

} // namespace

TEST_CASE("a lost connection ends the attempts sent on it as may-have-run")
{
    // Guards against a caller that waits until its deadline for a daemon whose VM failed: no answer can arrive once the
    // connection is lost.
    DaemonFixture daemon;
    daemon.addPeer();
    REQUIRE(DaemonFixture::find<SendToPeer>(daemon.arrive(1)) != nullptr);

    CHECK(DaemonFixture::find<AnswerCaller>(daemon.core->handle(PeerLost{.daemon = {"third"}, .wasConnected = true})) == nullptr);
    const Actions actions = daemon.core->handle(PeerLost{.daemon = {"other"}, .wasConnected = true});

    const auto *const answer = DaemonFixture::find<AnswerCaller>(actions);
    REQUIRE(answer != nullptr);
    CHECK((answer->answer.verdict == Verdict::mayHaveRun));
}

TEST_CASE("a read at a failed daemon is retried elsewhere, within its retry budget")
{
    // Guards against a read that fails with the VM that served it although another server of the service is healthy: all
    // attempts had been lent to the lost daemon, and lent attempts are returned only with an answer.
    DaemonFixture daemon{1};
    daemon.addPeer("other");
    daemon.addPeer("third");
    const Actions first = daemon.arrive(1);
    const auto *const sent = DaemonFixture::find<SendToPeer>(first);
    REQUIRE(sent != nullptr);
    const DaemonId lost = sent->to;
    CHECK(std::get<protocol::CallRequest>(sent->message).attemptsLent == 0);

    CHECK(DaemonFixture::find<AnswerCaller>(daemon.core->handle(PeerLost{.daemon = lost, .wasConnected = true})) == nullptr);
    const Actions later = daemon.advance(5s, false);
    const auto again = std::find_if(later.begin(), later.end(), [](const Action &action) {
        const auto *const send = std::get_if<SendToPeer>(&action);
        return send != nullptr && std::holds_alternative<protocol::CallRequest>(send->message);
    });
    REQUIRE(again != later.end());
    CHECK(std::get<SendToPeer>(*again).to != lost);
    CHECK(DaemonFixture::find<AnswerCaller>(daemon.core->handle(PeerLost{.daemon = std::get<SendToPeer>(*again).to, .wasConnected = true})) != nullptr);
}

TEST_CASE("a connection that never opened ends no attempt by itself")
{
    // Guards against a not-run answer for a running request: the event of a failed connection is handled after a later attempt
    // was sent on the next connection; only a SendFailed of that attempt may end it.
    DaemonFixture daemon;
    daemon.addPeer();
    const Actions started = daemon.arrive(1);
    const auto *const sent = DaemonFixture::find<SendToPeer>(started);
    REQUIRE(sent != nullptr);

    CHECK(DaemonFixture::find<AnswerCaller>(daemon.core->handle(PeerLost{.daemon = {"other"}, .wasConnected = false})) == nullptr);
    const CallId call = std::get<protocol::CallRequest>(sent->message).call;
    const Actions actions = daemon.core->handle(SendFailed{.to = {"other"}, .call = call});

    const auto *const answer = DaemonFixture::find<AnswerCaller>(actions);
    REQUIRE(answer != nullptr);
    CHECK((answer->answer.verdict == Verdict::notRun));
}

TEST_CASE("a backend server that stops announcing itself counts as gone")
{
    // Guards against a daemon that keeps failing calls after its backend server was killed without a report.
    DaemonFixture daemon;
    daemon.announce();
    static_cast<void>(daemon.advance(10s, true));
    CHECK((daemon.state() == MemberState::serving));
    static_cast<void>(daemon.advance(6s, false));
    CHECK((daemon.state() == MemberState::idle));
    daemon.announce();
    CHECK((daemon.state() == MemberState::serving));
}

TEST_CASE("announcements do not undo a drain, but a new process does")
{
    // Guards against new work for a server that is being replaced: it keeps announcing itself while it drains. Its successor
    // must not count as draining.
    DaemonFixture daemon;
    daemon.announce("first");
    static_cast<void>(daemon.core->handle(ServerDraining{}));
    daemon.announce("first");
    CHECK((daemon.state() == MemberState::draining));
    CHECK(DaemonFixture::find<Drained>(daemon.advance(10s, false)) == nullptr);
    daemon.announce("first");
    CHECK((daemon.state() == MemberState::idle));
    daemon.announce("second");
    CHECK((daemon.state() == MemberState::serving));
}

TEST_CASE("a reported departure is not undone by an announcement that was sent earlier")
{
    DaemonFixture daemon;
    static_cast<void>(daemon.core->handle(ServerDraining{.instance = "first"}));
    daemon.announce("first");
    CHECK((daemon.state() == MemberState::idle));
    daemon.announce("second");
    CHECK((daemon.state() == MemberState::serving));
    static_cast<void>(daemon.core->handle(ServerDraining{.instance = "first"}));
    CHECK((daemon.state() == MemberState::serving));
}

TEST_CASE("a restarted daemon learns from the others that its server is leaving")
{
    DaemonFixture daemon;
    daemon.addPeer();
    daemon.announce("first");
    const Actions drainActions = daemon.core->handle(ServerDraining{.instance = "first"});
    const auto *const sent = DaemonFixture::find<SendToPeer>(drainActions);
    REQUIRE(sent != nullptr);
    const protocol::Gossip gossip = std::get<protocol::Gossip>(sent->message);

    const auto receive = [&gossip](DaemonFixture &fixture) {
        return fixture.core->handle(PeerMessage{.envelope = {.sender = {"other"}, .incarnation = peerIncarnation, .message = gossip}});
    };
    DaemonFixture rumourFirst;
    static_cast<void>(receive(rumourFirst));
    rumourFirst.announce("first");
    CHECK((rumourFirst.state() == MemberState::idle));

    DaemonFixture announcedFirst;
    announcedFirst.announce("first");
    CHECK(DaemonFixture::find<DepartureReported>(receive(announcedFirst)) != nullptr);
    CHECK((announcedFirst.state() == MemberState::draining));
    CHECK(announcedFirst.core->load().draining);
    announcedFirst.announce("second");
    CHECK((announcedFirst.state() == MemberState::serving));
}

TEST_CASE("a departed server does not return to service after another one has replaced it")
{
    DaemonFixture daemon;
    daemon.announce("first");
    static_cast<void>(daemon.core->handle(ServerDraining{.instance = "first"}));
    daemon.announce("second");
    static_cast<void>(daemon.core->handle(ServerDraining{.instance = "second"}));
    daemon.announce("first");
    CHECK((daemon.state() == MemberState::draining));
}

TEST_CASE("a drain before an unnamed server is known lasts until its announcements have paused")
{
    DaemonFixture daemon;
    static_cast<void>(daemon.core->handle(ServerDraining{}));
    daemon.announce();
    CHECK((daemon.state() != MemberState::serving));
    static_cast<void>(daemon.advance(6s, false));
    daemon.announce();
    CHECK((daemon.state() == MemberState::serving));
}

TEST_CASE("a daemon that was signalled to end before it knew its server does not announce that it serves")
{
    DaemonFixture daemon;
    static_cast<void>(daemon.core->handle(ServerDraining{.isSignal = true}));
    daemon.announce("first");
    CHECK((daemon.state() != MemberState::serving));
}

TEST_CASE("a daemon that shuts down finishes its runs, announces its departure, and then ends")
{
    // Guards against requests that fail because a VM is replaced: runs must finish first; then the departure must be announced,
    // or the other daemons take it for a crash.
    DaemonFixture daemon;
    daemon.announce();
    const Actions started = daemon.arrive(1);
    const auto *const run = DaemonFixture::find<StartRun>(started);
    REQUIRE(run != nullptr);
    const ExecutionId execution = run->execution;

    static_cast<void>(daemon.core->handle(ServerDraining{.isShutdown = true}));
    CHECK(DaemonFixture::find<Drained>(daemon.advance(5s, true)) == nullptr);
    CHECK((daemon.state() == MemberState::draining));
    const Actions refused = daemon.arrive(2);
    REQUIRE(DaemonFixture::find<AnswerCaller>(refused) != nullptr);
    CHECK((DaemonFixture::find<AnswerCaller>(refused)->answer.verdict == Verdict::notRun));

    const Actions ended = daemon.core->handle(RunEnded{.execution = execution, .result = RunAnswer{.status = 200, .headers = {}, .body = "whole"}});
    REQUIRE(DaemonFixture::find<AnswerCaller>(ended) != nullptr);
    CHECK(DaemonFixture::find<AnswerCaller>(ended)->answer.body == "whole");
    CHECK(DaemonFixture::find<Drained>(daemon.advance(2s, true)) != nullptr);
    CHECK((daemon.state() == MemberState::gone));
}

TEST_CASE("a daemon that hears nobody reports how many it expects and still sees, and any message ends the isolation")
{
    // Guards against an isolated daemon without a report, and against messages other than gossip that do not count.
    DaemonFixture daemon;
    daemon.addPeer("other");
    daemon.addPeer("third");
    const Actions silent = daemon.advance(11s, true);
    const auto *const began = DaemonFixture::find<IsolationChanged>(silent);
    REQUIRE(began != nullptr);
    CHECK(began->change.isIsolated);
    CHECK(began->expected == 2);
    CHECK(began->present <= 2);
    CHECK(daemon.core->peerSilence().isIsolated);
    CHECK(DaemonFixture::find<IsolationChanged>(daemon.advance(1min, true)) == nullptr);

    const protocol::CallAnswer answer;
    static_cast<void>(daemon.core->handle(PeerMessage{.envelope = {.sender = {"other"}, .incarnation = peerIncarnation, .message = answer}}));
    const Actions heard = daemon.advance(1s, true);
    const auto *const ended = DaemonFixture::find<IsolationChanged>(heard);
    REQUIRE(ended != nullptr);
    CHECK_FALSE(ended->change.isIsolated);
    CHECK_FALSE(daemon.core->peerSilence().isIsolated);
}

TEST_CASE("a daemon that sends messages only to itself is isolated all the same")
{
    // Guards against calls between this daemon's own callers and server that pass for messages of another daemon.
    DaemonFixture daemon;
    daemon.announce();
    bool hasBegun = false;
    for (std::uint64_t exchange = 1; exchange <= 15; ++exchange) {
        static_cast<void>(daemon.arrive(exchange));
        hasBegun = DaemonFixture::find<IsolationChanged>(daemon.advance(1s, true)) != nullptr || hasBegun;
    }
    CHECK(hasBegun);
}
