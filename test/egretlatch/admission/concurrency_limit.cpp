#include <doctest/doctest.h>

#include <egretlatch/admission/concurrency_limit.hpp>

#include <egretlatch/admission/tickets.hpp>

using namespace egretlatch;
using namespace egretlatch::admission;
using namespace tests;

namespace
{

// Simulates a server that is always full: each run takes `latencyAt(limit)`, and each round ends as many runs as the limit
// allows.
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

TEST_CASE("a server with less capacity than it announces gets a lower limit")
{
    // A backend server announces 16 slots but runs four requests at a time. The others wait in its internal queue, which is
    // not ordered by value, and each request takes four times as long.
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

TEST_CASE("a server that became slow keeps its limit")
{
    // Each run takes ten times as long, regardless of the number of concurrent runs. A lower limit would only lose
    // throughput.
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

TEST_CASE("the limit drops when a server rejects for lack of capacity and grows back once it accepts")
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

TEST_CASE("the limit stays between one and the announced slots")
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
