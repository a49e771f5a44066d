#include <doctest/doctest.h>

#include <fakes/in_memory_table.hpp>
#include <fakes/manual_clock.hpp>

#include <egretlatch/membership/departure_record.hpp>

using namespace std::chrono_literals;
using namespace egretlatch;
using egretlatch::membership::DepartureRecord;

namespace
{

constexpr std::uint64_t seed = 20261204;

struct Fixture
{
    fakes::ManualClock clock;
    SeededRandom random{seed};
    fakes::InMemoryTable table;

    // Executes what is due until nothing is; returns the number of requests.
    int settle(DepartureRecord &record)
    {
        int requests = 0;
        while (const auto request = record.tick(clock.steadyNow(), clock.wallNow())) {
            ++requests;
            static_cast<void>(record.handleOutcome(table.apply(*request), clock.steadyNow(), clock.wallNow()));
        }
        return requests;
    }

    [[nodiscard]] std::size_t rows()
    {
        constexpr int all = 100'000;
        return std::get<store::RowsReply>(*table.apply(store::TableScan{.prefix = "departure/", .after = {}, .limit = all})).rows.size();
    }
};

} // namespace

TEST_CASE("a daemon reads its own departures and no others")
{
    Fixture fixture;
    DepartureRecord first{{"a"}, true, fixture.random};
    DepartureRecord other{{"a/b"}, true, fixture.random};
    first.add("i-1#5");
    other.add("i-2#6");
    fixture.settle(first);
    fixture.settle(other);
    DepartureRecord later{{"a"}, false, fixture.random};
    CHECK_FALSE(later.knowsEarlier());
    const auto request = later.tick(fixture.clock.steadyNow(), fixture.clock.wallNow());
    REQUIRE(request.has_value());
    const auto effects = later.handleOutcome(fixture.table.apply(*request), fixture.clock.steadyNow(), fixture.clock.wallNow());
    CHECK(effects.read == std::vector<std::string>{"i-1#5"});
    CHECK(later.knowsEarlier());
    CHECK(later.isSaved("i-1#5"));
    CHECK_FALSE(later.isSaved("i-2#6"));
}

TEST_CASE("one request is under way at a time, and a failed one is repeated after a pause")
{
    Fixture fixture;
    DepartureRecord record{{"a"}, false, fixture.random};
    REQUIRE(record.tick(fixture.clock.steadyNow(), fixture.clock.wallNow()).has_value());
    fixture.clock.advance(10s);
    CHECK_FALSE(record.tick(fixture.clock.steadyNow(), fixture.clock.wallNow()).has_value());
    const store::Outcome failure = tl::unexpected{Error{ErrorCode::timedOut, "lost"}};
    static_cast<void>(record.handleOutcome(failure, fixture.clock.steadyNow(), fixture.clock.wallNow()));
    CHECK_FALSE(record.tick(fixture.clock.steadyNow(), fixture.clock.wallNow()).has_value());
    fixture.clock.advance(1s);
    CHECK(record.tick(fixture.clock.steadyNow(), fixture.clock.wallNow()).has_value());
}

TEST_CASE("departures that wait for the store are bounded, and those beyond are saved once they are reported again")
{
    // Guards against memory that fills while the store is away.
    Fixture fixture;
    DepartureRecord record{{"a"}, true, fixture.random};
    constexpr int reported = 100;
    for (int departure = 0; departure < reported; ++departure) {
        record.add("i-" + std::to_string(departure));
    }
    fixture.settle(record);
    CHECK(fixture.rows() == 64);
    CHECK_FALSE(record.isSaved("i-99"));
    record.add("i-99");
    fixture.settle(record);
    CHECK(record.isSaved("i-99"));
}

TEST_CASE("a first start that stays calm asks nothing of the store")
{
    Fixture fixture;
    DepartureRecord record{{"a"}, true, fixture.random};
    CHECK(record.knowsEarlier());
    CHECK(fixture.settle(record) == 0);
}

TEST_CASE("the rows of departures do not grow with the age of the fleet")
{
    // Guards against a table that each replaced VM leaves a row in for ever.
    Fixture fixture;
    constexpr int hours = 40;
    constexpr int departuresPerHour = 60;
    std::size_t most = 0;
    int requests = 0;
    for (int departure = 0; departure < hours * departuresPerHour; ++departure) {
        // Each VM is replaced by one of another name.
        DepartureRecord record{{"vm-" + std::to_string(departure)}, true, fixture.random};
        record.add("i-" + std::to_string(departure));
        requests += fixture.settle(record);
        fixture.clock.advance(1min);
        most = std::max(most, fixture.rows());
    }
    MESSAGE("most rows: ", most, ", requests a departure: ", static_cast<double>(requests) / (hours * departuresPerHour));
    CHECK(most < 5 * departuresPerHour);
    CHECK(requests < 2 * hours * departuresPerHour);
}

TEST_CASE("rows that are still needed are not removed")
{
    Fixture fixture;
    for (int departure = 0; departure < 200; ++departure) {
        DepartureRecord record{{"vm-" + std::to_string(departure)}, true, fixture.random};
        record.add("i-1");
        fixture.settle(record);
        fixture.clock.advance(10s);
    }
    CHECK(fixture.rows() == 200);
}
