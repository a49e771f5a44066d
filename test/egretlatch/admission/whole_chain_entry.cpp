#include <doctest/doctest.h>

#include <egretlatch/admission/whole_chain_entry.hpp>

#include <egretlatch/admission/tickets.hpp>

using namespace egretlatch;
using namespace egretlatch::admission;
using namespace tests;

namespace
{

// door -> middle -> deep; a second kind of the door stays there.
std::shared_ptr<const manifest::Manifest> chain()
{
    const manifest::KindSpec deep{.name = "read", .cost = 10ms, .calls = {}};
    const manifest::KindSpec middle{.name = "look", .cost = 10ms, .calls = {{.service = "deep", .kind = "read"}}};
    const manifest::KindSpec door{.name = "ask", .priority = 5, .worth = 3.0, .cost = 10ms, .calls = {{.service = "middle", .kind = "look"}}};
    const manifest::KindSpec shortWay{.name = "greet", .priority = 5, .worth = 3.0, .cost = 10ms, .calls = {}};
    return manifest::ManifestBuilder{}
        .addService({.name = "door", .slots = 4, .kinds = {door, shortWay}})
        .addService({.name = "middle", .slots = 4, .kinds = {middle}})
        .addService({.name = "deep", .slots = 4, .kinds = {deep}})
        .build();
}

struct Entry
{
    SeededRandom random{1};
    WholeChainEntry control{random};

    Entry()
    {
        control.setManifest(chain());
    }

    [[nodiscard]] int admitted(const std::string &kind, const SteadyTime now)
    {
        int count = 0;
        for (std::uint64_t number = 0; number < 1000; ++number) {
            const EntryRequest request{.service = "door", .kind = kind, .root = rootTicket(number, 5).root, .rank = control.rankOf("door", kind)};
            count += control.check(request, now).has_value() ? 0 : 1;
        }
        return count;
    }
};

constexpr Level aboveAll{.priority = 9, .density = 63, .fraction = 1.0};

} // namespace

TEST_CASE("a root is refused at the door where the deepest service of its chain would refuse it")
{
    // The deepest of three services is full. Refused only there, each root would have held slots of the other two for
    // nothing. Kinds that do not reach it go on.
    Entry entry;
    entry.control.noteLevel({.service = "deep", .reported = {.level = aboveAll, .at = start}});

    CHECK(entry.admitted("ask", start) == 0);
    CHECK(entry.admitted("greet", start) == 1000);
}

TEST_CASE("two daemons that were told the same level let the same roots pass")
{
    Entry first;
    Entry second;
    const RankClass rankClass = first.control.classAt("deep", "read", first.control.rankOf("door", "ask"), {});
    const Level half{.priority = rankClass.priority, .density = rankClass.density, .fraction = 0.5};
    for (Entry *const entry : {&first, &second}) {
        entry->control.noteLevel({.service = "deep", .reported = {.level = half, .at = start}});
    }

    int passed = 0;
    for (std::uint64_t number = 0; number < 1000; ++number) {
        const EntryRequest request{.service = "door", .kind = "ask", .root = rootTicket(number, 5).root, .rank = first.control.rankOf("door", "ask")};
        const bool isAdmitted = !first.control.check(request, start).has_value();
        CHECK(isAdmitted == !second.control.check(request, start).has_value());
        passed += isAdmitted ? 1 : 0;
    }
    CHECK(passed > 400);
    CHECK(passed < 600);
}

TEST_CASE("a level that nobody repeats lets probes through after 100 ms and is forgotten after a second")
{
    // Everything is refused at the door, so no answer tells that the deep service has room again. A level that stood
    // until news came would stand for ever.
    Entry entry;
    entry.control.noteLevel({.service = "deep", .reported = {.level = aboveAll, .at = start}});

    CHECK(entry.admitted("ask", start + 100ms) == 0);
    const int probes = entry.admitted("ask", start + 400ms);
    CHECK(probes > 0);
    CHECK(probes < 300);
    CHECK(entry.admitted("ask", start + 1s) == 1000);
}

TEST_CASE("old news that come round by another way do not replace newer ones")
{
    // Daemons that call one another pass levels on in a circle. Taken by the time of their coming, a level of seconds ago
    // came back as new, and roots were let in that were shed four services further down.
    Entry entry;
    entry.control.noteLevel({.service = "deep", .reported = {.level = aboveAll, .at = start}});
    entry.control.noteLevel({.service = "deep", .reported = {.level = {}, .at = start - 50ms}});

    CHECK(entry.admitted("ask", start) == 0);
}

TEST_CASE("an attempt that never left tells nothing of the service")
{
    Entry entry;
    const LoadReport full{.inFlight = 4, .limit = 4, .queued = 9, .level = aboveAll, .queueDelay = {}, .draining = false};
    entry.control.noteLoad({.service = "door", .daemon = {"door-0"}, .load = full}, start);
    entry.control.noteLoad({.service = "door", .daemon = {"door-0"}, .load = {}}, start);

    CHECK(entry.admitted("greet", start) == 0);
}

TEST_CASE("a refusal at the entry says which service, by which figures and when to come back")
{
    Entry entry;
    entry.control.noteLevel({.service = "deep", .reported = {.level = aboveAll, .at = start}});
    const EntryRequest request{.service = "door", .kind = "ask", .root = rootTicket(1, 5).root, .rank = entry.control.rankOf("door", "ask")};

    const std::optional<EntryRefusal> refusal = entry.control.check(request, start);

    REQUIRE(refusal.has_value());
    CHECK((refusal->reason == account::RefusalReason::overloadAtEntry));
    CHECK(refusal->rule.find("deep") != std::string::npos);
    CHECK_FALSE(refusal->figures.empty());
    CHECK(refusal->retryAfter > 0ms);
}

TEST_CASE("a root's class at a service goes by the slot time that it needs there")
{
    // Launch entries need little of duty-roster and much of launch-log. Judged by their worst service they lost to roster
    // reads, which earn less for each slot of duty-roster, and none was completed.
    Entry entry;
    const Rank rank{.priority = 9, .worth = 10.0, .invested = {}};

    CHECK(entry.control.classAt("deep", "read", rank, {}) > entry.control.classAt("door", "ask", rank, {}));
    CHECK(entry.control.classAt("door", "ask", {.priority = 9, .worth = 0.0, .invested = {}}, {}) < entry.control.classAt("door", "ask", rank, {}));
}
