#include <doctest/doctest.h>

#include <algorithm>

#include <fmt/format.h>

#include <fakes/gossip_network.hpp>

using namespace std::chrono_literals;
using egretlatch::Duration;
using egretlatch::membership::MemberState;
using egretlatch::membership::Rumour;
using egretlatch::membership::RumourKind;
using fakes::GossipNetwork;

namespace
{

constexpr std::uint64_t seed = 20261202;

void waitForConvergence(GossipNetwork &network)
{
    INFO("seed ", seed);
    const bool isConverged = network
                                 .runUntil(
                                     [&network] {
                                         return network.hasConverged();
                                     },
                                     60s)
                                 .has_value();
    REQUIRE(isConverged);
    network.run(15s);
}

// Checks if any daemon still lists the member as serving and would send it work; a suspect gets none.
[[nodiscard]] bool isServingForAny(const GossipNetwork &network, const std::size_t subject)
{
    for (std::size_t observer = 0; observer < network.size(); ++observer) {
        if (observer != subject && network.observedState(observer, subject) == MemberState::serving) {
            return true;
        }
    }
    return false;
}

void setDraining(GossipNetwork &network, const std::size_t index)
{
    network.node(index).roster.updateSelf(MemberState::draining, "launch-log", 35, 300);
    network.node(index).gossip.announceSelf(network.now());
}

[[nodiscard]] std::size_t countIsolationChanges(GossipNetwork &network)
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < network.size(); ++index) {
        count += network.node(index).isolationChanges.size();
    }
    return count;
}

} // namespace

TEST_CASE("daemons that start together with three contacts discover each other")
{
    GossipNetwork network{40, seed};
    waitForConvergence(network);
    CHECK(network.hasConverged());
}

TEST_CASE("a new daemon discovers all members and is discovered by all")
{
    GossipNetwork network{40, seed};
    waitForConvergence(network);
    const std::size_t newcomer = network.add();
    const auto took = network.runUntil(
        [&network] {
            return network.hasConverged();
        },
        15s);
    CHECK(took.has_value());
    CHECK((network.observedState(newcomer, 0) == MemberState::serving));
}

TEST_CASE("all daemons learn of a drain within seconds with a third of the messages lost")
{
    // Daemons that miss the message of a draining backend server would go on sending it work, and its callers would be
    // refused again and again while it is being replaced.
    GossipNetwork network{40, seed};
    waitForConvergence(network);
    network.setLoss(0.3);
    setDraining(network, 7);
    const auto took = network.runUntil(
        [&network] {
            return !isServingForAny(network, 7);
        },
        5s);
    CHECK(took.has_value());
}

TEST_CASE("a failed daemon is suspected by all within seconds and gone soon after")
{
    // A VM fails without an announcement. While other daemons send it work, calls time out at one server of several.
    GossipNetwork network{40, seed};
    waitForConvergence(network);
    network.kill(5);
    const auto suspected = network.runUntil(
        [&network] {
            return network.allSee(5, MemberState::suspect);
        },
        6s);
    CHECK(suspected.has_value());
    const auto aged = network.runUntil(
        [&network] {
            return network.allSee(5, MemberState::gone);
        },
        12s);
    CHECK(aged.has_value());
}

TEST_CASE("an isolated daemon pings new contacts at once")
{
    // A new daemon received calls before it knew any server: the store returned contacts 0.1 s after its start, but it
    // pinged them only at the next full second.
    egretlatch::membership::Member self;
    self.id = {"fresh"};
    self.incarnation = {1};
    egretlatch::membership::Roster roster{self};
    egretlatch::SeededRandom random{seed};
    fakes::CountingMetrics metrics;
    egretlatch::membership::Gossip gossip{roster, random, metrics, {}};
    const egretlatch::SteadyTime start{1h};
    gossip.tick(start);
    REQUIRE(gossip.takeEffects().messages.empty());

    gossip.addContacts({{.id = {"other"}, .endpoint = "tcp://other"}});
    gossip.tick(start + 10ms);

    CHECK(gossip.takeEffects().messages.size() == 1);
}

TEST_CASE("a new daemon that fails right after joining is suspected within seconds")
{
    // A VM joins, is known everywhere and fails within seconds. Each daemon chose its probe order before the VM joined, and
    // would otherwise probe it only in the next round.
    GossipNetwork network{40, seed};
    waitForConvergence(network);
    const std::size_t newcomer = network.add();
    network.run(3s);
    CHECK(network.allSee(newcomer, MemberState::serving));
    network.kill(newcomer);
    const auto suspected = network.runUntil(
        [&network, newcomer] {
            return network.allSee(newcomer, MemberState::suspect);
        },
        6s);
    CHECK(suspected.has_value());
}

TEST_CASE("a rack that fails at once is detected, and the remaining daemons still see each other as serving")
{
    // Eight of forty VMs fail with a switch. The others must detect all eight, and must not suspect each other although many
    // of the members asked for indirect probes are among the failed ones.
    GossipNetwork network{40, seed};
    waitForConvergence(network);
    for (std::size_t index = 8; index < 16; ++index) {
        network.kill(index);
    }
    const auto found = network.runUntil(
        [&network] {
            bool areGone = true;
            for (std::size_t index = 8; index < 16; ++index) {
                areGone = areGone && network.allSee(index, MemberState::gone);
            }
            return areGone;
        },
        40s);
    CHECK(found.has_value());
    CHECK(network.hasConverged());
}

TEST_CASE("a live daemon refutes a suspicion that was raised over one lossy link")
{
    // One daemon with a bad link to a server would otherwise remove it from the routing of the whole fleet. The suspicion is
    // disseminated, the suspect receives it, raises its revision and gets work again.
    GossipNetwork network{20, seed};
    waitForConvergence(network);
    const auto *const member = network.node(0).roster.find({"d009"});
    egretlatch::membership::GossipMessage message;
    message.members = {network.node(0).roster.self()};
    message.suspicions = {{.id = member->id, .incarnation = member->incarnation, .revision = member->revision}};
    network.node(1).gossip.handle({"d000"}, {1}, message, network.now());
    CHECK((network.observedState(1, 9) == MemberState::suspect));
    const auto took = network.runUntil(
        [&network] {
            return network.hasConverged();
        },
        15s);
    CHECK(took.has_value());
    CHECK(network.node(9).roster.self().revision > 0);
}

TEST_CASE("no live daemon stays suspect or gone after a third of all messages was lost")
{
    // With a third of all messages lost, many probes fail. Daemons are suspected and refute; none may remain gone.
    GossipNetwork network{30, seed};
    waitForConvergence(network);
    network.setLoss(0.3);
    network.run(60s);
    network.setLoss(0);
    const auto took = network.runUntil(
        [&network] {
            return network.hasConverged();
        },
        20s);
    CHECK(took.has_value());
}

TEST_CASE("a paused daemon that resumes learns that it was suspected, and refutes")
{
    // A VM is paused for half a minute and then reads the messages sent meanwhile. The fleet lists it as gone and sends it no
    // work, which it must learn. It must also not suspect others whose acks it did not read during the pause.
    GossipNetwork network{20, seed};
    waitForConvergence(network);
    network.setRunning(4, false);
    network.run(30s);
    CHECK(network.allSee(4, MemberState::gone));
    network.setRunning(4, true);
    const auto took = network.runUntil(
        [&network] {
            return network.hasConverged();
        },
        10s);
    CHECK(took.has_value());
    CHECK(network.node(4).roster.self().revision > 0);
    CHECK(network.node(4).metrics.value("membership/probe-failed") <= 1);
}

TEST_CASE("a VM replaced under the same id overrides its earlier incarnation")
{
    // A VM is replaced while the fleet still lists the old one. The new incarnation starts at revision zero and must override
    // the known entry; the old one, if it was only paused, must not override the new one when it resumes.
    GossipNetwork network{20, seed};
    waitForConvergence(network);
    setDraining(network, 6);
    network.run(5s);
    const egretlatch::membership::Member oldIncarnation = network.node(6).roster.self();
    network.kill(6);
    network.replace(6);
    const auto took = network.runUntil(
        [&network] {
            return network.hasConverged();
        },
        15s);
    CHECK(took.has_value());
    egretlatch::membership::GossipMessage late;
    late.members = {oldIncarnation};
    network.node(3).gossip.handle(oldIncarnation.id, oldIncarnation.incarnation, late, network.now());
    CHECK((network.observedState(3, 6) == MemberState::serving));
}

TEST_CASE("a daemon restarted with its clock set back raises its incarnation above the earlier one")
{
    for (const Duration away : {Duration{200ms}, Duration{30s}}) {
        GossipNetwork network{20, seed};
        waitForConvergence(network);
        network.kill(6);
        network.run(away);
        network.startWithClockSetBack(6);
        const auto took = network.runUntil(
            [&network] {
                return network.hasConverged()
                    && network.node(3).roster.find(network.node(6).initialSelf.id)->incarnation == network.node(6).roster.self().incarnation;
            },
            15s);
        CHECK(took.has_value());
        CHECK(network.node(6).roster.self().incarnation > network.node(6).initialSelf.incarnation);
    }
}

TEST_CASE("partitioned regions keep serving and merge again within the byte limit")
{
    // Two regions are partitioned for three minutes. Members within each must keep seeing each other as serving. Afterwards
    // each region lists the other as gone at the current revisions; they must merge without help, within the byte limit.
    GossipNetwork network{40, seed};
    waitForConvergence(network);
    const auto isEast = [](const std::size_t index) {
        return index % 2 == 0;
    };
    network.setPartition([isEast](const std::size_t from, const std::size_t to) {
        return isEast(from) != isEast(to);
    });
    network.run(60s);
    for (std::size_t index = 0; index < network.size(); ++index) {
        CHECK((network.observedState(index, (index + 2) % network.size()) == MemberState::serving));
        CHECK((network.observedState(index, (index + 1) % network.size()) == MemberState::gone));
    }
    network.run(120s);
    network.setPartition(nullptr);
    network.resetCounts();
    const egretlatch::SteadyTime healed = network.now();
    const auto took = network.runUntil(
        [&network] {
            return network.hasConverged();
        },
        60s);
    REQUIRE(took.has_value());
    const double seconds = std::chrono::duration<double>{network.now() - healed}.count();
    constexpr double bytesAllowed = 27'000;
    CHECK(static_cast<double>(network.bytesSent()) / static_cast<double>(network.size()) / seconds < bytesAllowed);
}

TEST_CASE("each daemon receives a rumour once, and an older version does not replace it")
{
    GossipNetwork network{30, seed};
    waitForConvergence(network);
    const Rumour head{.key = {.kind = RumourKind::configuration, .key = "head"}, .version = 8, .payload = "hash", .remaining = {}};
    network.node(2).gossip.spread(head, network.now());
    network.run(10s);
    Rumour older = head;
    older.version = 7;
    network.node(3).gossip.spread(older, network.now());
    network.run(10s);
    for (std::size_t index = 0; index < network.size(); ++index) {
        const std::size_t expected = index == 2 ? 0 : 1;
        CHECK(network.node(index).rumours.size() == expected);
        CHECK(network.node(index).gossip.rumours().find(head.key, network.now())->version == 8);
    }
}

TEST_CASE("a rumour expires at its original time on daemons that receive it late")
{
    // If a daemon that receives a rumour late restarted its time to live and passed it on, the rumour would circulate for
    // ever, and a request would be refused after its quarantine has ended.
    GossipNetwork network{20, seed};
    waitForConvergence(network);
    const Rumour quarantine{.key = {.kind = RumourKind::quarantine, .key = "fingerprint"}, .version = 1, .payload = {}, .remaining = 8s};
    network.node(2).gossip.spread(quarantine, network.now());
    network.run(7s);
    CHECK(network.node(11).gossip.rumours().find(quarantine.key, network.now()).has_value());
    network.run(3s);
    static_cast<void>(network.add());
    network.run(10s);
    for (std::size_t index = 0; index < network.size(); ++index) {
        CHECK(network.node(index).gossip.rumours().size() == 0);
    }
}

TEST_CASE("a restarted daemon learns of its server's departure within a second despite many other rumours")
{
    GossipNetwork network{40, seed};
    waitForConvergence(network);
    constexpr std::size_t leaving = 5;
    for (int number = 0; number < 100; ++number) {
        const Rumour other{.key = {.kind = RumourKind::departure, .key = fmt::format("c{}", number)}, .version = 1, .payload = {}, .remaining = 120s};
        network.node(7).gossip.spread(other, network.now());
    }
    const std::string key = egretlatch::membership::daemonRumourKey(network.node(leaving).initialSelf.id, "first");
    const Rumour departure{.key = {.kind = RumourKind::departure, .key = key}, .version = 1, .payload = {}, .remaining = 120s};
    network.node(leaving).gossip.spread(departure, network.now());
    network.run(10s);
    network.replace(leaving);
    const auto knows = [&network, &departure] {
        return network.node(leaving).gossip.rumours().find(departure.key, network.now()).has_value();
    };
    CHECK(network.runUntil(knows, 1s).has_value());
}

TEST_CASE("the bytes that an idle daemon sends do not grow with the fleet")
{
    constexpr std::size_t small = 10;
    constexpr std::size_t large = 80;
    const auto bytesAtRest = [](const std::size_t count) {
        GossipNetwork network{count, seed};
        waitForConvergence(network);
        network.resetCounts();
        network.run(60s);
        return static_cast<double>(network.bytesSent()) / static_cast<double>(count) / 60;
    };
    const double few = bytesAtRest(small);
    const double many = bytesAtRest(large);
    MESSAGE("bytes a second at 10 daemons ", few, ", at 80 daemons ", many);
    CHECK(many < 1.5 * few);
}

TEST_CASE("no daemon of a fleet at rest is reported as isolated, with a third of the messages lost, a failure and a pause")
{
    // Guards against false alarms: each one would call a person.
    for (const std::size_t size : {2, 3, 20}) {
        CAPTURE(size);
        GossipNetwork network{size, seed};
        network.run(30s);
        network.setLoss(0.3);
        network.run(5min);
        network.setLoss(0);
        network.setRunning(1, false);
        network.run(8s);
        network.setRunning(1, true);
        network.run(1min);
        CHECK(countIsolationChanges(network) == 0);
    }
}

TEST_CASE("a daemon that receives nothing is reported as isolated until it receives again, and no other daemon is")
{
    // Guards against a daemon that hears nobody, takes all others for gone and says so nowhere. Its own messages still arrive.
    GossipNetwork network{20, seed};
    waitForConvergence(network);
    network.setPartition([](const std::size_t /*from*/, const std::size_t to) {
        return to == 4;
    });
    network.run(60s);
    REQUIRE(network.node(4).isolationChanges.size() == 1);
    CHECK(network.node(4).isolationChanges.front().isIsolated);
    CHECK(network.node(4).gossip.peerSilence(network.now()).isIsolated);
    CHECK(network.node(4).gossip.countExpected() == 19);
    network.setPartition(nullptr);
    network.run(60s);
    REQUIRE(network.node(4).isolationChanges.size() == 2);
    CHECK_FALSE(network.node(4).isolationChanges.back().isIsolated);
    CHECK(network.node(4).isolationChanges.back().silence >= 59s);
    CHECK(countIsolationChanges(network) == 2);
}

TEST_CASE("the last daemon is not reported as isolated after the others announced that they leave")
{
    // Guards against an alarm of the last daemon each time a fleet is shut down.
    GossipNetwork network{3, seed};
    waitForConvergence(network);
    for (const std::size_t leaving : {1, 2}) {
        network.node(leaving).roster.updateSelf(MemberState::gone, {}, 0, 0);
        network.node(leaving).gossip.announceSelf(network.now());
        network.run(1s);
        network.kill(leaving);
    }
    network.run(2min);
    CHECK(network.node(0).gossip.countExpected() == 0);
    CHECK(countIsolationChanges(network) == 0);
}
