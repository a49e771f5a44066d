#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

#include <egretlatch/routing/adaptive_router.hpp>
#include <egretlatch/routing/subset.hpp>

using namespace egretlatch;
using namespace egretlatch::routing;
using namespace std::chrono_literals;

namespace
{

constexpr SteadyTime start{std::chrono::hours{1}};

membership::Member member(const std::string &id, const std::string &dataCentre, const std::string &service = "roster")
{
    membership::Member member;
    member.id = {id};
    member.incarnation = {1};
    member.state = service.empty() ? membership::MemberState::idle : membership::MemberState::serving;
    member.dataCentre = dataCentre;
    member.service = service;
    member.slots = 4;
    return member;
}

struct Fleet
{
    SeededRandom random{7};
    AdaptiveRouter router{random};
    std::vector<membership::Member> members{member("self", "dc1", "")};

    void add(const std::string &id, const std::string &dataCentre, const SteadyTime now = start)
    {
        members.push_back(member(id, dataCentre));
        router.setMembers(members, now);
    }

    [[nodiscard]] std::optional<DaemonId> choose(const SteadyTime now)
    {
        return router.choose({.service = "roster", .kind = "read", .root = {}, .excluded = {}, .deadline = now + 1s}, now);
    }

    // Makes calls one after the other; `resultOf` returns the result of each.
    template<typename ResultOf>
    [[nodiscard]] std::map<std::string, int> makeCalls(const int calls, SteadyTime &now, ResultOf resultOf)
    {
        std::map<std::string, int> chosen;
        for (int call = 0; call < calls; ++call) {
            const std::optional<DaemonId> id = choose(now);
            REQUIRE(id.has_value());
            ++chosen[id->value];
            now += 5ms;
            router.noteResult(*id, resultOf(*id), now);
        }
        return chosen;
    }
};

AttemptResult answered(const DaemonId & /*id*/)
{
    return {.outcome = AttemptOutcome::answered, .kind = "read", .latency = 5ms, .bytes = 0, .load = std::nullopt};
}

} // namespace

TEST_CASE("draining servers are chosen only if no other server remains")
{
    // Guards against failing all requests to a small service for seconds while both of its daemons restart shortly after each
    // other: once they announced that they were draining they got no calls, although their servers still accepted them.
    Fleet fleet;
    fleet.add("one", "dc1");
    fleet.add("two", "dc1");
    fleet.members[1].state = membership::MemberState::draining;
    fleet.router.setMembers(fleet.members, start);
    SteadyTime now = start;
    const auto answered = [](const DaemonId & /*id*/) {
        return AttemptResult{.outcome = AttemptOutcome::answered, .kind = "read", .latency = 5ms, .load = {}};
    };
    CHECK(fleet.makeCalls(20, now, answered) == std::map<std::string, int>{{"two", 20}});
    fleet.members[2].state = membership::MemberState::draining;
    fleet.router.setMembers(fleet.members, now);
    CHECK(fleet.makeCalls(20, now, answered).size() == 2);
    fleet.members[1].state = membership::MemberState::gone;
    fleet.members[2].state = membership::MemberState::gone;
    fleet.router.setMembers(fleet.members, now);
    CHECK(!fleet.choose(now).has_value());
}

TEST_CASE("calls stay in the local data centre while it has free slots, and spill over before they queue")
{
    Fleet fleet;
    fleet.add("near", "dc1");
    fleet.add("far", "dc2");

    std::map<std::string, int> chosen;
    for (int call = 0; call < 6; ++call) {
        ++chosen[fleet.choose(start)->value];
    }

    CHECK(chosen["near"] == 4);
    CHECK(chosen["far"] == 2);
}

TEST_CASE("a server that fails fast loses its share and is ramped up again after it recovers")
{
    // A server that answers every call with 500 at once looks idle by requests in flight. It would attract most of the calls
    // and fail them all.
    Fleet fleet;
    for (const char *const id : {"bad", "good-1", "good-2"}) {
        fleet.add(id, "dc1");
    }
    bool isBroken = true;
    const auto result = [&isBroken](const DaemonId &id) -> AttemptResult {
        if (isBroken && id.value == "bad") {
            return {.outcome = AttemptOutcome::failed, .kind = "read", .latency = 1ms, .bytes = 0, .load = std::nullopt};
        }
        return answered(id);
    };
    SteadyTime now = start;

    std::map<std::string, int> whileBroken = fleet.makeCalls(1000, now, result);
    isBroken = false;
    now += 10s;
    std::map<std::string, int> afterwards = fleet.makeCalls(1000, now, result);

    CHECK(whileBroken["bad"] < 50);
    CHECK(afterwards["bad"] > 200);
}

TEST_CASE("a server that hangs loses its share even if callers give up before the deadline")
{
    Fleet fleet;
    for (const char *const id : {"bad", "good-1", "good-2"}) {
        fleet.add(id, "dc1");
    }
    SteadyTime now = start;
    std::map<std::string, int> chosen = fleet.makeCalls(1000, now, [](const DaemonId &id) -> AttemptResult {
        if (id.value == "bad") {
            return {.outcome = AttemptOutcome::abandoned, .kind = "read", .latency = 300ms, .bytes = 0, .load = std::nullopt};
        }
        return answered(id);
    });

    CHECK(chosen["bad"] < 50);
}

TEST_CASE("no server is ejected when all fail alike")
{
    // When a service they depend on is down, all servers answer with errors. Ejecting some would only overload the rest.
    Fleet fleet;
    for (const char *const id : {"one", "two", "three", "four"}) {
        fleet.add(id, "dc1");
    }
    SteadyTime now = start;
    std::map<std::string, int> chosen = fleet.makeCalls(2000, now, [](const DaemonId &) -> AttemptResult {
        return {.outcome = AttemptOutcome::failed, .kind = "read", .latency = 1ms, .bytes = 0, .load = std::nullopt};
    });

    for (const char *const id : {"one", "two", "three", "four"}) {
        CHECK(chosen[id] > 200);
    }
}

TEST_CASE("a server that joins late gets few calls at first and its full share after some seconds")
{
    // A replaced server has cold caches; given its full share at once, it would answer those calls late.
    Fleet fleet;
    fleet.add("old-1", "dc1");
    fleet.add("old-2", "dc1");
    SteadyTime now = start + 10s;
    fleet.add("new", "dc1", now);

    std::map<std::string, int> first = fleet.makeCalls(100, now, answered);
    now += 5s;
    std::map<std::string, int> later = fleet.makeCalls(300, now, answered);

    CHECK(first["new"] == 0);
    CHECK(later["new"] > 50);
}

TEST_CASE("an attempt whose end is never reported expires after its deadline")
{
    Fleet fleet;
    fleet.add("near", "dc1");
    fleet.add("far", "dc2");
    for (int call = 0; call < 8; ++call) {
        static_cast<void>(fleet.choose(start));
    }

    CHECK(fleet.choose(start + 3s)->value == "near");
}

TEST_CASE("a call is not sent again to an excluded daemon")
{
    Fleet fleet;
    fleet.add("one", "dc1");

    CHECK_FALSE(
        fleet.router.choose({.service = "roster", .kind = "read", .root = {}, .excluded = {DaemonId{"one"}}, .deadline = start + 1s}, start).has_value());
    CHECK_FALSE(fleet.router.choose({.service = "other", .kind = "read", .root = {}, .excluded = {}, .deadline = start + 1s}, start).has_value());
}

TEST_CASE("a subset has the requested size, and a server that leaves changes at most one entry of it")
{
    CHECK(rc::check([](const std::uint32_t seed) {
        std::vector<DaemonId> servers;
        servers.reserve(100);
        for (int number = 0; number < 100; ++number) {
            servers.push_back({"server-" + std::to_string(seed) + "-" + std::to_string(number)});
        }
        const DaemonId chooser{"chooser-" + std::to_string(seed)};
        const std::vector<DaemonId> before = subsetOf(chooser, servers, 16);
        servers.erase(servers.begin() + static_cast<std::ptrdiff_t>(seed % servers.size()));
        const std::vector<DaemonId> after = subsetOf(chooser, servers, 16);

        RC_ASSERT(before.size() == 16U);
        std::vector<DaemonId> kept;
        std::set_intersection(before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(kept));
        RC_ASSERT(kept.size() >= 15U);
    }));
}

TEST_CASE("a slow local server loses calls to fast remote ones, and is tried again once it is fast")
{
    // Guards against preferring a slow local server: callers in its data centre got most answers after the latency target of
    // their route, while fast servers in other data centres were nearly idle.
    Fleet fleet;
    fleet.add("near", "dc1");
    fleet.add("far-1", "dc2");
    fleet.add("far-2", "dc3");
    SteadyTime now = start;
    const auto reportPerformance = [&fleet, &now](const Duration near) {
        fleet.router.notePerformance({"near"}, {{.kind = "read", .ownTime = near, .failureShare = 0.0}}, now);
        fleet.router.notePerformance({"far-1"}, {{.kind = "read", .ownTime = 200ms, .failureShare = 0.0}}, now);
        fleet.router.notePerformance({"far-2"}, {{.kind = "read", .ownTime = 200ms, .failureShare = 0.0}}, now);
    };
    const auto result = [](const DaemonId &id) -> AttemptResult {
        return {.outcome = AttemptOutcome::answered, .kind = "read", .latency = id.value == "near" ? 500ms : 200ms, .bytes = 5000, .load = std::nullopt};
    };
    reportPerformance(500ms);
    std::map<std::string, int> whileSlow = fleet.makeCalls(100, now, result);
    now += 60s;
    std::map<std::string, int> afterSilence = fleet.makeCalls(100, now, result);
    reportPerformance(200ms);
    std::map<std::string, int> afterwards = fleet.makeCalls(100, now, answered);

    CHECK(whileSlow["near"] == 0);
    CHECK(afterSilence["near"] > 0);
    CHECK(afterwards["near"] == 100);
}

TEST_CASE("a server that fails some of its calls gets few while healthy servers have capacity")
{
    // Two servers of four lost a quarter of their answers, too few for ejection. They kept getting calls as before, and the
    // fleet's retry budget was used up within a second.
    Fleet fleet;
    for (const char *const id : {"bad", "good-1", "good-2"}) {
        fleet.add(id, "dc1");
    }
    SteadyTime now = start;
    const auto result = [&fleet, &now](const DaemonId &id) -> AttemptResult {
        fleet.router.notePerformance(id, {{.kind = "read", .ownTime = 5ms, .failureShare = id.value == "bad" ? 0.25 : 0.0}}, now);
        return answered(id);
    };

    std::map<std::string, int> chosen = fleet.makeCalls(300, now, result);

    CHECK(chosen["bad"] < 20);
}

TEST_CASE("large answers are not fetched from another data centre for a small gain in latency")
{
    // Transferring a megabyte from another data centre takes longer than the faster server saves.
    Fleet fleet;
    fleet.add("near", "dc1");
    fleet.add("far", "dc2");
    SteadyTime now = start;
    fleet.router.notePerformance({"near"}, {{.kind = "read", .ownTime = 300ms, .failureShare = 0.0}}, now);
    fleet.router.notePerformance({"far"}, {{.kind = "read", .ownTime = 150ms, .failureShare = 0.0}}, now);
    const auto result = [](const DaemonId &) -> AttemptResult {
        return {.outcome = AttemptOutcome::answered, .kind = "read", .latency = 300ms, .bytes = 1'000'000, .load = std::nullopt};
    };
    static_cast<void>(fleet.makeCalls(10, now, result));

    std::map<std::string, int> chosen = fleet.makeCalls(100, now, result);

    CHECK(chosen["near"] == 100);
}

TEST_CASE("the average latency of a kind follows its answers, and an outlier moves it little")
{
    KindAverages averages;
    for (int call = 0; call < 100; ++call) {
        averages.note("long", 800ms, 10);
        averages.note("short", 30ms, 10);
    }
    CHECK(averages.latency("long") == 800ms);
    CHECK(averages.latency("short") == 30ms);
    CHECK(averages.latency("unseen") == 100ms);

    averages.note("short", 30s, 10);

    CHECK(averages.latency("short") < 33ms);
}

TEST_CASE("reports on a server lose weight over time and are removed with the server")
{
    ServerPerformance performance;
    performance.note({"slow"}, {.kind = "read", .ownTime = 300ms, .failureShare = 0.0}, start);
    performance.note({"fast"}, {.kind = "read", .ownTime = 100ms, .failureShare = 0.0}, start);

    CHECK(performance.mean("read") == 200ms);
    CHECK(performance.excessTime({"slow"}, "read", start) == 100ms);
    CHECK(performance.excessTime({"fast"}, "read", start) == -100ms);
    CHECK(performance.excessTime({"slow"}, "read", start + 30s) < 10ms);
    CHECK(performance.excessTime({"unknown"}, "read", start) == 0ms);
    performance.forget({"slow"});
    CHECK(performance.excessTime({"slow"}, "read", start) == 0ms);
}
