#include <doctest/doctest.h>

#include <egretlatch/admission/concurrency_limit.hpp>

#include <egretlatch/admission/tickets.hpp>

using namespace egretlatch;
using namespace egretlatch::admission;
using namespace tests;

namespace
{

// Runs a server that is always full: each run takes `latencyAt(limit)`, and as many end at a time as the limit allows.
template<typename LatencyAt>
void runFull(ConcurrencyLimit &limit, SteadyTime &now, const int rounds, LatencyAt latencyAt)
{
    for (int round = 0; round < rounds; ++round) {
        const int running = limit.value();
        const Duration latency = latencyAt(running);
        now += latency;
        for (int run = 0; run < running; ++run) {
            limit.note({.outcome = RunOutcome::succeeded, .ownLatency = latency, .cost = 10ms, .isSaturated = true}, now);
        }
    }
}

} // namespace

TEST_CASE("a server that has less room than it announces gets fewer runs at a time")
{
    // A backend server announces 16 slots and runs four at a time; the others wait inside it, where nobody puts them in
    // order, and each request takes four times as long.
    ConcurrencyLimit limit;
    limit.setSlots(16);
    SteadyTime now = start;
    runFull(limit, now, 40, [](int) {
        return Duration{10ms};
    });
    CHECK(limit.value() == 16);

    runFull(limit, now, 400, [](const int running) {
        return Duration{10ms} * std::max(4, running) / 4;
    });

    CHECK(limit.value() <= 8);
}

TEST_CASE("a server that has become slow keeps its slots")
{
    // A deep service takes ten times as long for each run, whatever the number of runs. Taking slots from it would only
    // lose throughput.
    ConcurrencyLimit limit;
    limit.setSlots(16);
    SteadyTime now = start;
    runFull(limit, now, 40, [](int) {
        return Duration{10ms};
    });
    int lowest = 16;
    for (int round = 0; round < 200; ++round) {
        runFull(limit, now, 1, [](int) {
            return Duration{100ms};
        });
        lowest = std::min(lowest, limit.value());
    }

    CHECK(lowest >= 14);
}

TEST_CASE("a server that refuses for lack of capacity gets less, and more again when it takes it")
{
    ConcurrencyLimit limit;
    limit.setSlots(10);
    SteadyTime now = start;
    limit.note({.outcome = RunOutcome::rejected, .ownLatency = 0ms, .cost = 10ms, .isSaturated = true}, now);
    CHECK(limit.value() == 7);

    runFull(limit, now, 100, [](int) {
        return Duration{10ms};
    });

    CHECK(limit.value() == 10);
}

TEST_CASE("the limit never leaves one to the announced slots")
{
    ConcurrencyLimit limit;
    limit.setSlots(3);
    SteadyTime now = start;
    for (int count = 0; count < 50; ++count) {
        now += 200ms;
        limit.note({.outcome = RunOutcome::lost, .ownLatency = 0ms, .cost = 10ms, .isSaturated = true}, now);
        CHECK(limit.value() >= 1);
    }
    limit.setSlots(5);
    CHECK(limit.value() == 5);
}
