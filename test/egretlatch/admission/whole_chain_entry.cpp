#include <doctest/doctest.h>

#include <egretlatch/admission/whole_chain_entry.hpp>

#include <egretlatch/admission/tickets.hpp>

using namespace egretlatch;
using namespace egretlatch::admission;
using namespace tests;

namespace
{

// Call chain door -> middle -> deep; the second kind of door makes no calls.
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

TEST_CASE("a root is refused at the entry if the last service of its chain would refuse it")
{
    // Guards against wasted slots: the last of three services is full, and a root refused only there would have held slots
    // of the other two for nothing. Kinds that do not call it are admitted.
    Entry entry;
    entry.control.noteLevel({.service = "deep", .reported = {.level = aboveAll, .at = start}});

    CHECK(entry.admitted("ask", start) == 0);
    CHECK(entry.admitted("greet", start) == 1000);
}

TEST_CASE("two daemons with the same level admit the same roots")
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

TEST_CASE("a level without new reports admits probes after 100 ms and expires after one second")
{
    // Guards against a level that holds forever: while every root is refused at the entry, no answer reports that the last
    // service has capacity again.
    Entry entry;
    entry.control.noteLevel({.service = "deep", .reported = {.level = aboveAll, .at = start}});

    CHECK(entry.admitted("ask", start + 100ms) == 0);
    const int probes = entry.admitted("ask", start + 400ms);
    CHECK(probes > 0);
    CHECK(probes < 300);
    CHECK(entry.admitted("ask", start + 1s) == 1000);
}

TEST_CASE("an older level that arrives over another path does not replace a newer one")
{
    // Daemons that call each other forward levels in a cycle. Ordered by arrival, a level that was seconds old counted as
    // new, and roots were admitted that were shed four services downstream.
    Entry entry;
    entry.control.noteLevel({.service = "deep", .reported = {.level = aboveAll, .at = start}});
    entry.control.noteLevel({.service = "deep", .reported = {.level = {}, .at = start - 50ms}});

    CHECK(entry.admitted("ask", start) == 0);
}

TEST_CASE("an attempt that was never sent does not change the level")
{
    Entry entry;
    const LoadReport full{.inFlight = 4, .limit = 4, .queued = 9, .level = aboveAll, .queueDelay = {}, .draining = false};
    entry.control.noteLoad({.service = "door", .daemon = {"door-0"}, .load = full}, start);
    entry.control.noteLoad({.service = "door", .daemon = {"door-0"}, .load = {}}, start);

    CHECK(entry.admitted("greet", start) == 0);
}

TEST_CASE("a refusal at the entry names the service, the figures and the retry delay")
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

TEST_CASE("a root's class at a service depends on its slot time there")
{
    // Launch entries need little slot time at duty-roster and much at launch-log. Ranked by the lowest class along their
    // chain they lost to roster reads, which have less worth per slot time of duty-roster, and none was completed.
    Entry entry;
    const Rank rank{.priority = 9, .worth = 10.0, .invested = {}};

    CHECK(entry.control.classAt("deep", "read", rank, {}) > entry.control.classAt("door", "ask", rank, {}));
    CHECK(entry.control.classAt("door", "ask", {.priority = 9, .worth = 0.0, .invested = {}}, {}) < entry.control.classAt("door", "ask", rank, {}));
}
