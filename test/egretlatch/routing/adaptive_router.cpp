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

    // Makes calls one at a time; `resultOf` says how each ends.
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

TEST_CASE("servers that leave are chosen only where no other is left")
{
    // All requests that lead to a small service fail for seconds. Both of its daemons are being restarted, one a moment after
    // the other, and from their first word on nobody sent them anything, although their servers went on.
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

TEST_CASE("calls stay in the own data centre while there is room, and spill before they queue")
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

TEST_CASE("a server that fails fast loses its share and is tried again gently")
{
    // One server answers every call with 500 at once. By requests in flight it looks idle, so it would draw most of the
    // calls and fail them all.
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

TEST_CASE("a server that hangs loses its share though callers give up before its deadline")
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

TEST_CASE("when all servers fail alike none is taken out")
{
    // A service further down is gone, so every server answers with an error. Taking servers out would only make the rest
    // fuller.
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

TEST_CASE("a server that comes late gets little at first and its full share after some seconds")
{
    // A replaced server has cold caches; given its full share at once it would answer that share late.
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

TEST_CASE("an attempt whose end is never told does not count for ever")
{
    Fleet fleet;
    fleet.add("near", "dc1");
    fleet.add("far", "dc2");
    for (int call = 0; call < 8; ++call) {
        static_cast<void>(fleet.choose(start));
    }

    CHECK(fleet.choose(start + 3s)->value == "near");
}

TEST_CASE("a call is not sent again to a daemon that it was tried at")
{
    Fleet fleet;
    fleet.add("one", "dc1");

    CHECK_FALSE(
        fleet.router.choose({.service = "roster", .kind = "read", .root = {}, .excluded = {DaemonId{"one"}}, .deadline = start + 1s}, start).has_value());
    CHECK_FALSE(fleet.router.choose({.service = "other", .kind = "read", .root = {}, .excluded = {}, .deadline = start + 1s}, start).has_value());
}

TEST_CASE("a subset has the asked size, and a server that leaves changes at most one place of it")
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

TEST_CASE("a slow server of the own data centre leaves calls to fast ones elsewhere, and is tried again once it is fast")
{
    // Callers beside a slow server got most of their answers after the time that their route gives, while fast servers in
    // other data centres were nearly idle.
    Fleet fleet;
    fleet.add("near", "dc1");
    fleet.add("far-1", "dc2");
    fleet.add("far-2", "dc3");
    SteadyTime now = start;
    const auto reportPaces = [&fleet, &now](const Duration near) {
        fleet.router.notePaces({"near"}, {{.kind = "read", .own = near, .failing = 0.0}}, now);
        fleet.router.notePaces({"far-1"}, {{.kind = "read", .own = 200ms, .failing = 0.0}}, now);
        fleet.router.notePaces({"far-2"}, {{.kind = "read", .own = 200ms, .failing = 0.0}}, now);
    };
    const auto result = [](const DaemonId &id) -> AttemptResult {
        return {.outcome = AttemptOutcome::answered, .kind = "read", .latency = id.value == "near" ? 500ms : 200ms, .bytes = 5000, .load = std::nullopt};
    };
    reportPaces(500ms);
    std::map<std::string, int> whileSlow = fleet.makeCalls(100, now, result);
    now += 60s;
    std::map<std::string, int> afterSilence = fleet.makeCalls(100, now, result);
    reportPaces(200ms);
    std::map<std::string, int> afterwards = fleet.makeCalls(100, now, answered);

    CHECK(whileSlow["near"] == 0);
    CHECK(afterSilence["near"] > 0);
    CHECK(afterwards["near"] == 100);
}

TEST_CASE("a server that fails part of its calls leaves them to sound ones while those have room")
{
    // Two servers of four lost a quarter of their answers, too few to be taken out. Calls went on to them as before, and the
    // bound on what the fleet repeats was used up in a second.
    Fleet fleet;
    for (const char *const id : {"bad", "good-1", "good-2"}) {
        fleet.add(id, "dc1");
    }
    SteadyTime now = start;
    const auto result = [&fleet, &now](const DaemonId &id) -> AttemptResult {
        fleet.router.notePaces(id, {{.kind = "read", .own = 5ms, .failing = id.value == "bad" ? 0.25 : 0.0}}, now);
        return answered(id);
    };

    std::map<std::string, int> chosen = fleet.makeCalls(300, now, result);

    CHECK(chosen["bad"] < 20);
}

TEST_CASE("large answers are not fetched from afar for a little time")
{
    // An archive of a megabyte from another data centre costs more on the way than the faster server gains.
    Fleet fleet;
    fleet.add("near", "dc1");
    fleet.add("far", "dc2");
    SteadyTime now = start;
    fleet.router.notePaces({"near"}, {{.kind = "read", .own = 300ms, .failing = 0.0}}, now);
    fleet.router.notePaces({"far"}, {{.kind = "read", .own = 150ms, .failing = 0.0}}, now);
    const auto result = [](const DaemonId &) -> AttemptResult {
        return {.outcome = AttemptOutcome::answered, .kind = "read", .latency = 300ms, .bytes = 1'000'000, .load = std::nullopt};
    };
    static_cast<void>(fleet.makeCalls(10, now, result));

    std::map<std::string, int> chosen = fleet.makeCalls(100, now, result);

    CHECK(chosen["near"] == 100);
}

TEST_CASE("the usual time of a kind follows its answers, and one of many times the usual moves it little")
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

TEST_CASE("what is told of a server loses its weight with time, and its place taken by another it is forgotten")
{
    ServerPaces paces;
    paces.note({"slow"}, {.kind = "read", .own = 300ms, .failing = 0.0}, start);
    paces.note({"fast"}, {.kind = "read", .own = 100ms, .failing = 0.0}, start);

    CHECK(paces.mean("read") == 200ms);
    CHECK(paces.excessTime({"slow"}, "read", start) == 100ms);
    CHECK(paces.excessTime({"fast"}, "read", start) == -100ms);
    CHECK(paces.excessTime({"slow"}, "read", start + 30s) < 10ms);
    CHECK(paces.excessTime({"unknown"}, "read", start) == 0ms);
    paces.forget({"slow"});
    CHECK(paces.excessTime({"slow"}, "read", start) == 0ms);
}
