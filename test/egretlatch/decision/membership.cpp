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
constexpr Incarnation peerLife{200};

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

    // Lets the other daemon say that its server takes work.
    void meetOther(const std::string &id = "other")
    {
        membership::Member other;
        other.id = {id};
        other.incarnation = peerLife;
        other.state = MemberState::serving;
        other.service = "roster";
        other.slots = 2;
        other.endpoint = "tcp://other";
        protocol::Gossip gossip;
        gossip.members = {other};
        static_cast<void>(core->handle(PeerMessage{.envelope = {.sender = other.id, .incarnation = peerLife, .message = gossip}}));
    }

    void announce(const std::string &instance = {})
    {
        static_cast<void>(core->handle(ServerAnnounced{.service = "roster", .slots = 2, .connections = 10, .instance = instance}));
    }

    // Lets time pass in steps, with announcements if there is a server.
    Actions pass(const Duration span, const bool announces)
    {
        constexpr std::chrono::milliseconds step{500};
        Actions all;
        for (Duration passed{}; passed < span; passed += step) {
            clock.advance(step);
            if (announces) {
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

TEST_CASE("a lost connection ends the attempts that left by it, and tells that they may have run")
{
    // A caller waits its whole deadline for a daemon whose VM failed. No answer can come once the connection is lost.
    DaemonFixture daemon;
    daemon.meetOther();
    REQUIRE(DaemonFixture::find<SendToPeer>(daemon.arrive(1)) != nullptr);

    CHECK(DaemonFixture::find<AnswerCaller>(daemon.core->handle(PeerLost{.daemon = {"third"}, .wasConnected = true})) == nullptr);
    const Actions actions = daemon.core->handle(PeerLost{.daemon = {"other"}, .wasConnected = true});

    const auto *const answer = DaemonFixture::find<AnswerCaller>(actions);
    REQUIRE(answer != nullptr);
    CHECK((answer->answer.verdict == Verdict::mayHaveRun));
}

TEST_CASE("a read at a daemon that fails is made again elsewhere, within its budget")
{
    // A driver's roster read fails with the VM that served it, although another server of the service is well. All attempts
    // had been lent to the daemon that is lost, and what is lent comes back with the answer alone.
    DaemonFixture daemon{1};
    daemon.meetOther("other");
    daemon.meetOther("third");
    const Actions first = daemon.arrive(1);
    const auto *const sent = DaemonFixture::find<SendToPeer>(first);
    REQUIRE(sent != nullptr);
    const DaemonId lost = sent->to;
    CHECK(std::get<protocol::CallRequest>(sent->message).attemptsLent == 0);

    CHECK(DaemonFixture::find<AnswerCaller>(daemon.core->handle(PeerLost{.daemon = lost, .wasConnected = true})) == nullptr);
    const Actions later = daemon.pass(5s, false);
    const auto again = std::find_if(later.begin(), later.end(), [](const Action &action) {
        const auto *const send = std::get_if<SendToPeer>(&action);
        return send != nullptr && std::holds_alternative<protocol::CallRequest>(send->message);
    });
    REQUIRE(again != later.end());
    CHECK(std::get<SendToPeer>(*again).to != lost);
    CHECK(DaemonFixture::find<AnswerCaller>(daemon.core->handle(PeerLost{.daemon = std::get<SendToPeer>(*again).to, .wasConnected = true})) != nullptr);
}

TEST_CASE("a connection that never opened ends nothing by itself")
{
    // A caller is told not-run of a request that runs. The event of a connection that failed is read after a later attempt
    // has left by the next connection; only the failure of that very attempt may end it.
    DaemonFixture daemon;
    daemon.meetOther();
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

TEST_CASE("a backend server that stops announcing itself is taken for gone")
{
    // Calls are refused one after the other by a daemon whose backend server was killed and said nothing.
    DaemonFixture daemon;
    daemon.announce();
    static_cast<void>(daemon.pass(10s, true));
    CHECK((daemon.state() == MemberState::serving));
    static_cast<void>(daemon.pass(6s, false));
    CHECK((daemon.state() == MemberState::idle));
    daemon.announce();
    CHECK((daemon.state() == MemberState::serving));
}

TEST_CASE("announcements do not undo a drain, a new process does")
{
    // A backend server that is being replaced gets new work: it announces itself while it drains. The process that
    // follows it must not be held for draining.
    DaemonFixture daemon;
    daemon.announce("first");
    static_cast<void>(daemon.core->handle(ServerDraining{}));
    daemon.announce("first");
    CHECK((daemon.state() == MemberState::draining));
    CHECK(DaemonFixture::find<Drained>(daemon.pass(10s, false)) == nullptr);
    daemon.announce("first");
    CHECK((daemon.state() == MemberState::idle));
    daemon.announce("second");
    CHECK((daemon.state() == MemberState::serving));
}

TEST_CASE("the word of a server that it leaves is not undone by an announcement that was sent before it")
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

TEST_CASE("a daemon that starts again is told by the others that its server leaves")
{
    DaemonFixture daemon;
    daemon.meetOther();
    daemon.announce("first");
    const Actions told = daemon.core->handle(ServerDraining{.instance = "first"});
    const auto *const sent = DaemonFixture::find<SendToPeer>(told);
    REQUIRE(sent != nullptr);
    const protocol::Gossip news = std::get<protocol::Gossip>(sent->message);

    const auto hear = [&news](DaemonFixture &fixture) {
        return fixture.core->handle(PeerMessage{.envelope = {.sender = {"other"}, .incarnation = peerLife, .message = news}});
    };
    DaemonFixture heardFirst;
    static_cast<void>(hear(heardFirst));
    heardFirst.announce("first");
    CHECK((heardFirst.state() == MemberState::idle));

    DaemonFixture heardLater;
    heardLater.announce("first");
    CHECK(DaemonFixture::find<DepartureReported>(hear(heardLater)) != nullptr);
    CHECK((heardLater.state() == MemberState::draining));
    CHECK(heardLater.core->load().draining);
    heardLater.announce("second");
    CHECK((heardLater.state() == MemberState::serving));
}

TEST_CASE("a server that left does not come back once another has been in its place")
{
    DaemonFixture daemon;
    daemon.announce("first");
    static_cast<void>(daemon.core->handle(ServerDraining{.instance = "first"}));
    daemon.announce("second");
    static_cast<void>(daemon.core->handle(ServerDraining{.instance = "second"}));
    daemon.announce("first");
    CHECK((daemon.state() == MemberState::draining));
}

TEST_CASE("a drain before a server without a name is known lasts until it has been silent")
{
    DaemonFixture daemon;
    static_cast<void>(daemon.core->handle(ServerDraining{}));
    daemon.announce();
    CHECK((daemon.state() != MemberState::serving));
    static_cast<void>(daemon.pass(6s, false));
    daemon.announce();
    CHECK((daemon.state() == MemberState::serving));
}

TEST_CASE("a daemon that was told to end before it knew its server does not say that it serves")
{
    DaemonFixture daemon;
    static_cast<void>(daemon.core->handle(ServerDraining{.isSignal = true}));
    daemon.announce("first");
    CHECK((daemon.state() != MemberState::serving));
}

TEST_CASE("a daemon that shuts down finishes what runs, says that it leaves, and then ends")
{
    // A marshal sees a launch entry fail because a VM was replaced. What runs must end first; then the others must be
    // told, or they take the daemon for one that failed.
    DaemonFixture daemon;
    daemon.announce();
    const Actions started = daemon.arrive(1);
    const auto *const run = DaemonFixture::find<StartRun>(started);
    REQUIRE(run != nullptr);
    const ExecutionId execution = run->execution;

    static_cast<void>(daemon.core->handle(ServerDraining{.isShutdown = true}));
    CHECK(DaemonFixture::find<Drained>(daemon.pass(5s, true)) == nullptr);
    CHECK((daemon.state() == MemberState::draining));
    const Actions refused = daemon.arrive(2);
    REQUIRE(DaemonFixture::find<AnswerCaller>(refused) != nullptr);
    CHECK((DaemonFixture::find<AnswerCaller>(refused)->answer.verdict == Verdict::notRun));

    const Actions ended = daemon.core->handle(RunEnded{.execution = execution, .result = RunAnswer{.status = 200, .headers = {}, .body = "whole"}});
    REQUIRE(DaemonFixture::find<AnswerCaller>(ended) != nullptr);
    CHECK(DaemonFixture::find<AnswerCaller>(ended)->answer.body == "whole");
    CHECK(DaemonFixture::find<Drained>(daemon.pass(2s, true)) != nullptr);
    CHECK((daemon.state() == MemberState::gone));
}
