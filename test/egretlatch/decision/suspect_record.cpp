#include <doctest/doctest.h>

#include <fakes/in_memory_table.hpp>
#include <fakes/manual_clock.hpp>

#include <egretlatch/decision/suspect_record.hpp>

using namespace std::chrono_literals;
using namespace egretlatch;
using egretlatch::decision::RecordedSuspect;
using egretlatch::decision::SuspectRecord;

namespace
{

constexpr std::uint64_t seed = 20261204;
constexpr admission::RequestIdentity culprit{.content = 0xabc, .caller = 7};
constexpr admission::RequestIdentity bystander{.content = 0xdef, .caller = 7};

struct Fixture
{
    fakes::ManualClock clock;
    SeededRandom random{seed};
    fakes::InMemoryTable table;
    admission::CrashSuspects suspects;

    [[nodiscard]] std::optional<store::Request> tick(SuspectRecord &record)
    {
        return record.tick(suspects, clock.steadyNow(), clock.wallNow());
    }

    [[nodiscard]] std::vector<RecordedSuspect> reply(SuspectRecord &record, const store::Outcome &outcome)
    {
        return record.handleOutcome(outcome, clock.steadyNow(), clock.wallNow());
    }

    // Executes what is due until nothing is; returns the suspects that were read.
    std::vector<RecordedSuspect> settle(SuspectRecord &record)
    {
        std::vector<RecordedSuspect> all;
        while (const auto request = tick(record)) {
            for (RecordedSuspect &suspect : reply(record, table.apply(*request))) {
                all.push_back(std::move(suspect));
            }
        }
        return all;
    }

    void crash(SuspectRecord &record, const std::string &name, const std::vector<admission::RequestIdentity> &running)
    {
        suspects.noteCrash(name, running, clock.steadyNow());
        for (const admission::RequestIdentity &request : running) {
            record.noteCrash(request.content);
        }
    }
};

} // namespace

TEST_CASE("evidence of two crashes outlasts the daemons, that of one does not")
{
    Fixture fixture;
    SuspectRecord record{true, fixture.random};
    fixture.crash(record, "a/1/1", {culprit, bystander});
    CHECK(fixture.settle(record).empty());
    CHECK(fixture.table.writes() == 0);
    fixture.suspects.noteUnanswered("b/1/1", {culprit}, fixture.clock.steadyNow());
    record.noteCrash(culprit.content);
    CHECK(fixture.settle(record).empty());
    CHECK(fixture.table.writes() == 1);

    SuspectRecord later{false, fixture.random};
    const RecordedSuspect expected{
        .content = culprit.content,
        .crashes = {{.caller = culprit.caller, .crash = "a/1/1", .isBroken = true}, {.caller = culprit.caller, .crash = "b/1/1", .isBroken = false}}};
    CHECK(fixture.settle(later) == std::vector{expected});
}

TEST_CASE("evidence that has expired is not read")
{
    Fixture fixture;
    SuspectRecord record{true, fixture.random};
    fixture.crash(record, "a/1/1", {culprit});
    fixture.crash(record, "b/1/1", {culprit});
    fixture.settle(record);
    fixture.clock.advance(11min);
    SuspectRecord later{false, fixture.random};
    CHECK(fixture.settle(later).empty());
}

TEST_CASE("a save that fails is repeated with what is known by then")
{
    Fixture fixture;
    SuspectRecord record{true, fixture.random};
    fixture.crash(record, "a/1/1", {culprit});
    fixture.crash(record, "b/1/1", {culprit});
    REQUIRE(fixture.tick(record).has_value());
    fixture.crash(record, "c/1/1", {culprit});
    CHECK(fixture.reply(record, tl::unexpected{Error{ErrorCode::unavailable, "away"}}).empty());
    CHECK_FALSE(fixture.tick(record).has_value());
    fixture.clock.advance(1s);
    fixture.settle(record);
    CHECK(fixture.table.writes() == 1);
    SuspectRecord later{false, fixture.random};
    const std::vector<RecordedSuspect> read = fixture.settle(later);
    REQUIRE(read.size() == 1);
    CHECK(read.front().crashes.size() == 3);
}

TEST_CASE("a first start that stays calm asks nothing of the store for suspects")
{
    Fixture fixture;
    SuspectRecord record{true, fixture.random};
    CHECK_FALSE(fixture.tick(record).has_value());
}

TEST_CASE("suspects that wait for the store are bounded")
{
    // Guards against memory that fills while the store is away.
    Fixture fixture;
    SuspectRecord record{true, fixture.random};
    constexpr std::uint64_t contents = 100;
    for (std::uint64_t content = 1; content <= contents; ++content) {
        fixture.crash(record, "a/1/1", {{.content = content, .caller = 7}});
        fixture.crash(record, "b/1/1", {{.content = content, .caller = 7}});
    }
    fixture.settle(record);
    CHECK(fixture.table.writes() >= 64);
    CHECK(fixture.table.writes() < 80);
}

TEST_CASE("a row that another program spoilt names no crash")
{
    Fixture fixture;
    const std::string stamp = store::ExpiredRows::stamp(fixture.clock.wallNow());
    const auto put = [&fixture](const std::string &key, const std::string &value) {
        CHECK(fixture.table.apply(store::TableWrite{.conditions = {}, .writes = {{.key = key, .value = value}}}).has_value());
    };
    put("suspect/0000000000000abc", stamp + "\n\nxyz broken a/1/1\n12 broken");
    put("suspect/not-a-hash", stamp + "\n0000000000000007 broken a/1/1");
    put("suspect/0000000000000def", "no time");
    SuspectRecord record{false, fixture.random};
    CHECK(fixture.settle(record) == std::vector{RecordedSuspect{.content = culprit.content, .crashes = {}}});
}
