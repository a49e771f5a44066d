#include <doctest/doctest.h>

#include <set>

#include <fakes/counting_metrics.hpp>
#include <fakes/manual_clock.hpp>

#include <egretlatch/decision/core.hpp>

using namespace egretlatch;
using namespace egretlatch::decision;
using namespace std::chrono_literals;

TEST_CASE("an accepted configuration is advertised to every daemon of a small fleet immediately")
{
    // Guards against a VM that still routes to the old service three seconds after a route moved: its connection to the
    // store was silent in an outage, and no other daemon happened to send it the advert.
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

TEST_CASE("a daemon with a configuration feed asks another peer within a fraction of a second if one does not send its configuration")
{
    // Guards against a VM that applies a moved route 0.7 s or 1.4 s later than the others: the peer that it asked first stopped
    // before it answered, and the next was asked only after a turn for the store, which is not queried in this mode.
    fakes::ManualClock clock;
    SeededRandom random{1};
    fakes::CountingMetrics metrics;
    membership::Member self;
    self.id = {"self"};
    self.incarnation = {1};
    const auto core = CoreBuilder{clock, random, metrics}.setSelf(self).followPlatform().setConfigurationFeed().build();
    int requests = 0;
    const auto count = [&requests](const Actions &actions) {
        for (const Action &action : actions) {
            const auto *const send = std::get_if<SendToPeer>(&action);
            requests += send != nullptr && std::holds_alternative<configuration::BodyRequest>(send->message) ? 1 : 0;
        }
    };
    for (const char *const peer : {"left", "right"}) {
        const configuration::Advert advert{.version = 7, .hash = "h", .endpoint = "tcp://peer"};
        count(core->handle(PeerMessage{.envelope = {.sender = {peer}, .incarnation = {1}, .message = advert}}));
    }
    CHECK(requests == 1);
    for (int step = 0; step < 35; ++step) {
        clock.advance(10ms);
        count(core->handle(Tick{}));
    }
    CHECK(requests >= 3);
}
