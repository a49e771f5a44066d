#include <doctest/doctest.h>

#include <algorithm>

#include <fakes/counting_metrics.hpp>
#include <fakes/manual_clock.hpp>
#include <fakes/roster_fleet.hpp>

#include <egretlatch/decision/core.hpp>

using namespace egretlatch;
using namespace egretlatch::decision;

namespace
{

constexpr std::uint64_t seed = 1;
constexpr Incarnation selfIncarnation{100};
constexpr Incarnation peerIncarnation{200};

[[nodiscard]] std::shared_ptr<const manifest::Manifest> rosterManifest()
{
    manifest::KindSpec read;
    read.priority = 5;
    read.worth = 1;
    read.deadline = std::chrono::milliseconds{1000};
    return fakes::rosterManifest(read);
}

// One entry daemon that knows two serving daemons, `left` and `right`.
struct EntryFixture
{
    EntryFixture()
    {
        membership::Member self;
        self.id = {"entry"};
        self.incarnation = selfIncarnation;
        core = CoreBuilder{clock, random, metrics}.setSelf(self).setUnownedKeys(retry::UnownedKeys::entryMemory).build();
        static_cast<void>(core->handle(ManifestChanged{.version = 1, .manifest = rosterManifest()}));
        static_cast<void>(handleFrom("left", fakes::rosterGossip({"left", "right"}, peerIncarnation)));
    }

    Actions handleFrom(const std::string &sender, const protocol::Message &message)
    {
        return core->handle(PeerMessage{.envelope = {.sender = {sender}, .incarnation = peerIncarnation, .message = message}});
    }

    // Starts a call and returns the attempt sent to a serving daemon.
    SendToPeer arrive(const std::uint64_t exchange, const std::string &kind = "read", const std::string &key = {})
    {
        CallerCall call;
        call.service = "roster";
        call.kind = kind;
        call.method = "GET";
        call.path = "/";
        call.key = key;
        for (Action &action : core->handle(CallArrived{.exchange = {exchange}, .call = call})) {
            if (auto *const send = std::get_if<SendToPeer>(&action)) {
                return *send;
            }
        }
        FAIL("no attempt was made");
        return {};
    }

    [[nodiscard]] static protocol::CallAnswer answerTo(const SendToPeer &sent, const QByteArray &body)
    {
        protocol::CallAnswer answer;
        answer.call = std::get<protocol::CallRequest>(sent.message).call;
        answer.receiver = selfIncarnation;
        answer.verdict = Verdict::completed;
        answer.status = 200;
        answer.body = body;
        return answer;
    }

    [[nodiscard]] static const AnswerCaller *callerAnswer(const Actions &actions)
    {
        for (const Action &action : actions) {
            if (const auto *const answer = std::get_if<AnswerCaller>(&action)) {
                return answer;
            }
        }
        return nullptr;
    }

    fakes::ManualClock clock;
    SeededRandom random{seed};
    fakes::CountingMetrics metrics;
    std::unique_ptr<Core> core;
};

} // namespace

TEST_CASE("an answer goes unchanged to the exchange that made the request")
{
    EntryFixture entry;
    const SendToPeer first = entry.arrive(1);
    const SendToPeer second = entry.arrive(2);

    const Actions later = entry.handleFrom(second.to.value, EntryFixture::answerTo(second, "two"));
    const Actions earlier = entry.handleFrom(first.to.value, EntryFixture::answerTo(first, "one"));

    REQUIRE(EntryFixture::callerAnswer(later) != nullptr);
    CHECK(EntryFixture::callerAnswer(later)->exchange == ExchangeId{2});
    CHECK(EntryFixture::callerAnswer(later)->answer.body == "two");
    CHECK(EntryFixture::callerAnswer(earlier)->exchange == ExchangeId{1});
    CHECK(EntryFixture::callerAnswer(earlier)->answer.body == "one");
}

TEST_CASE("a duplicate answer is passed to the caller once")
{
    // Guards against a caller that reads two answers on one connection and takes the second for the answer to its next request,
    // because the serving daemon's answer was delivered twice.
    EntryFixture entry;
    const SendToPeer sent = entry.arrive(1);
    static_cast<void>(entry.handleFrom(sent.to.value, EntryFixture::answerTo(sent, "one")));

    CHECK(EntryFixture::callerAnswer(entry.handleFrom(sent.to.value, EntryFixture::answerTo(sent, "one"))) == nullptr);
    CHECK(entry.metrics.value("messages_dropped/late-answer") == 1);
}

TEST_CASE("an answer for a previous incarnation of the daemon is dropped")
{
    // Guards against giving one caller another caller's answer: after a restart of the entry daemon call ids start again, and
    // an answer meant for the previous incarnation carries the id of a new call.
    EntryFixture entry;
    const SendToPeer sent = entry.arrive(1);
    protocol::CallAnswer answer = EntryFixture::answerTo(sent, "another's");
    answer.receiver = Incarnation{selfIncarnation.value - 1};

    CHECK(EntryFixture::callerAnswer(entry.handleFrom(sent.to.value, answer)) == nullptr);
}

TEST_CASE("an answer from a daemon that the request was not sent to is dropped")
{
    EntryFixture entry;
    const SendToPeer sent = entry.arrive(1);
    const std::string other = sent.to.value == "left" ? "right" : "left";

    CHECK(EntryFixture::callerAnswer(entry.handleFrom(other, EntryFixture::answerTo(sent, "wrong"))) == nullptr);
}

TEST_CASE("past the deadline the caller gets may-have-run, and the attempt is cancelled")
{
    EntryFixture entry;
    const SendToPeer sent = entry.arrive(1);
    entry.clock.advance(std::chrono::milliseconds{1001});

    const Actions actions = entry.core->handle(Tick{});

    const AnswerCaller *const answer = EntryFixture::callerAnswer(actions);
    REQUIRE(answer != nullptr);
    CHECK((answer->answer.verdict == Verdict::mayHaveRun));
    CHECK(answer->answer.status == 504);
    const bool isCancelled = std::any_of(actions.begin(), actions.end(), [&sent](const Action &action) {
        const auto *const send = std::get_if<SendToPeer>(&action);
        return send != nullptr && send->to == sent.to && std::holds_alternative<protocol::CallCancel>(send->message);
    });
    CHECK(isCancelled);
}

TEST_CASE("a lost attempt is retried elsewhere only if the kind is idempotent")
{
    for (const bool idempotent : {true, false}) {
        CAPTURE(idempotent);
        EntryFixture entry;
        const SendToPeer sent = entry.arrive(1, idempotent ? "read" : "entry", "key");
        protocol::CallAnswer lost = EntryFixture::answerTo(sent, {});
        lost.verdict = Verdict::mayHaveRun;
        account::Refusal refusal;
        refusal.reason = account::RefusalReason::serverLost;
        lost.refusal = refusal;
        lost.attemptsReturned = 2;

        const Actions actions = entry.handleFrom(sent.to.value, lost);

        CHECK((EntryFixture::callerAnswer(actions) == nullptr) == idempotent);
    }
}

TEST_CASE("the same events with the same seed produce the same attempts")
{
    EntryFixture one;
    EntryFixture other;
    for (std::uint64_t exchange = 1; exchange < 20; ++exchange) {
        const SendToPeer first = one.arrive(exchange);
        const SendToPeer second = other.arrive(exchange);
        CHECK(first.to == second.to);
        CHECK(first.message == second.message);
    }
}

TEST_CASE("an older configuration does not replace a newer one")
{
    EntryFixture entry;
    CHECK_FALSE(entry.core->handle(ManifestChanged{.version = 3, .manifest = rosterManifest()}).empty());
    CHECK(entry.core->handle(ManifestChanged{.version = 2, .manifest = rosterManifest()}).empty());
    CHECK(entry.core->manifestVersion() == 3);
}

TEST_CASE("a cancel propagates down the call chain")
{
    // Guards against wasted work: a caller disconnects while its run waits for an inner call; only the run was aborted, and
    // the inner call kept a slot further down the chain.
    EntryFixture daemon;
    static_cast<void>(daemon.core->handle(ServerAnnounced{.service = "launch", .slots = 2, .connections = 10, .instance = {}}));
    protocol::CallRequest request;
    request.call = {1};
    request.receiver = selfIncarnation;
    request.service = "launch";
    request.kind = "read";
    request.remaining = std::chrono::seconds{1};
    Actions actions = daemon.handleFrom("left", request);
    const auto started = std::find_if(actions.begin(), actions.end(), [](const Action &action) {
        return std::holds_alternative<StartRun>(action);
    });
    REQUIRE(started != actions.end());
    CallerCall inner;
    inner.service = "roster";
    inner.kind = "read";
    inner.runToken = std::get<StartRun>(*started).request.runToken;
    static_cast<void>(daemon.core->handle(CallArrived{.exchange = {7}, .call = inner}));

    actions = daemon.handleFrom("left", protocol::CallCancel{.call = {1}});

    const AnswerCaller *const answer = EntryFixture::callerAnswer(actions);
    REQUIRE(answer != nullptr);
    CHECK(answer->exchange == ExchangeId{7});
    const bool isCancelledBelow = std::any_of(actions.begin(), actions.end(), [](const Action &action) {
        const auto *const send = std::get_if<SendToPeer>(&action);
        return send != nullptr && std::holds_alternative<protocol::CallCancel>(send->message);
    });
    CHECK(isCancelledBelow);
}
