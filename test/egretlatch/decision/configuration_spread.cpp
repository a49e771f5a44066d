#include <doctest/doctest.h>

#include <set>

#include <fakes/counting_metrics.hpp>
#include <fakes/manual_clock.hpp>

#include <egretlatch/decision/core.hpp>

using namespace egretlatch;
using namespace egretlatch::decision;
using namespace std::chrono_literals;

TEST_CASE("a configuration that the platform hands over is told to every daemon of a small fleet at once")
{
    // Three seconds after a route has moved, one VM still sends its requests to the old service. Its call to the store had
    // gone silent in an outage, and none of the others happened to tell it.
    fakes::ManualClock clock;
    SeededRandom random{1};
    fakes::CountingMetrics metrics;
    membership::Member self;
    self.id = {"self"};
    self.incarnation = {1};
    const auto core = CoreBuilder{clock, random, metrics}.setSelf(self).followPlatform().setConfigurationFeed().build();
    protocol::Gossip gossip;
    constexpr int others = 15;
    for (int index = 0; index < others; ++index) {
        membership::Member member;
        member.id = {"other-" + std::to_string(index)};
        member.incarnation = {1};
        member.revision = 1;
        member.state = membership::MemberState::serving;
        member.service = "roster";
        member.endpoint = "tcp://other";
        gossip.members.push_back(member);
    }
    static_cast<void>(core->handle(PeerMessage{.envelope = {.sender = {"other-0"}, .incarnation = {1}, .message = gossip}}));

    std::set<DaemonId> recipients;
    for (const Action &action : core->handle(ManifestAccepted{.version = 7, .document = R"({"services":[]})"})) {
        const auto *const send = std::get_if<SendToPeer>(&action);
        if (send != nullptr && std::holds_alternative<configuration::Advert>(send->message)) {
            CHECK(std::get<configuration::Advert>(send->message).version == 7);
            recipients.insert(send->to);
        }
    }
    CHECK(recipients.size() == others);
}

TEST_CASE("a peer that does not send its configuration costs a fed daemon a fraction of a second")
{
    // A route has moved, and a VM follows 0.7 s later than the others, or 1.4 s. The peer that it asked first stopped before
    // it answered, and the next was asked only after a turn of the store, which is not asked for configurations there.
    fakes::ManualClock clock;
    SeededRandom random{1};
    fakes::CountingMetrics metrics;
    membership::Member self;
    self.id = {"self"};
    self.incarnation = {1};
    const auto core = CoreBuilder{clock, random, metrics}.setSelf(self).followPlatform().setConfigurationFeed().build();
    int asked = 0;
    const auto count = [&asked](const Actions &actions) {
        for (const Action &action : actions) {
            const auto *const send = std::get_if<SendToPeer>(&action);
            asked += send != nullptr && std::holds_alternative<configuration::BodyRequest>(send->message) ? 1 : 0;
        }
    };
    for (const char *const peer : {"left", "right"}) {
        const configuration::Advert advert{.version = 7, .hash = "h", .endpoint = "tcp://peer"};
        count(core->handle(PeerMessage{.envelope = {.sender = {peer}, .incarnation = {1}, .message = advert}}));
    }
    CHECK(asked == 1);
    for (int step = 0; step < 35; ++step) {
        clock.advance(10ms);
        count(core->handle(Tick{}));
    }
    CHECK(asked >= 3);
}
