#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

#include <egretlatch/admission/adaptive_gate.hpp>
#include <egretlatch/admission/server_rate_limit.hpp>

using namespace egretlatch;
using namespace egretlatch::admission;
using namespace std::chrono_literals;

namespace
{

constexpr SteadyTime start{std::chrono::hours{1}};
constexpr std::chrono::seconds window{4};

// Starts as many runs as the limit allows, and returns the most in any window.
std::size_t mostStartsInWindow(ServerRateLimit &limit, const Duration length)
{
    std::deque<SteadyTime> starts;
    std::size_t most = 0;
    for (SteadyTime now = start; now < start + length; now += 5ms) {
        while (limit.mayStart(now)) {
            limit.noteStart();
            starts.push_back(now);
        }
        while (!starts.empty() && now - starts.front() >= window) {
            starts.pop_front();
        }
        most = std::max(most, starts.size());
    }
    return most;
}

} // namespace

TEST_CASE("no window of four seconds holds more starts than the limit and a short burst, and nine tenths of it are used")
{
    for (const double perSecond : {0.3, 0.9, 5.2, 14.8, 200.0}) {
        ServerRateLimit limit;
        limit.set(perSecond, start);
        const double inWindow = perSecond * 4.0;
        const auto most = static_cast<double>(mostStartsInWindow(limit, 60s));
        CHECK(most <= 1.5 * inWindow + 5);
        CHECK(most >= 0.9 * inWindow);
    }
}

TEST_CASE("a limit that changes with each answer gives no burst for each change")
{
    ServerRateLimit limit;
    std::size_t starts = 0;
    for (int step = 0; step < 400; ++step) {
        const SteadyTime now = start + step * 10ms;
        limit.set(10.0 + step % 3, now);
        while (limit.mayStart(now)) {
            limit.noteStart();
            ++starts;
        }
    }
    CHECK(starts <= 50);
}

TEST_CASE("a limit of zero still lets single runs start, which show when it ends")
{
    ServerRateLimit limit;
    limit.set(0.0, start);
    CHECK(mostStartsInWindow(limit, 20s) == 1);
    limit.set(std::nullopt, start + 20s);
    CHECK(limit.mayStart(start + 20s));
}

TEST_CASE("a gate with a rate limit starts no more runs, keeps the least valuable waiting, and reports fewer slots")
{
    AdaptiveGate gate;
    constexpr int slots = 40;
    gate.setSlots(slots);
    gate.setRateLimit(5.0, start);
    std::uint64_t last = 0;
    int started = 0;
    for (SteadyTime now = start; now < start + 10s; now += 10ms) {
        Ticket ticket;
        ticket.execution = {++last};
        ticket.kind = "read";
        ticket.cost = 100ms;
        ticket.arrived = now;
        ticket.deadline = now + 1s;
        GateRelease release = gate.offer(ticket, now);
        const GateRelease ticked = gate.tick(now);
        release.started.insert(release.started.end(), ticked.started.begin(), ticked.started.end());
        for (const ExecutionId execution : release.started) {
            ++started;
            static_cast<void>(gate.finish(execution, {.outcome = RunOutcome::succeeded, .latency = 100ms, .waitedForInner = {}}, now));
        }
    }
    CHECK(started >= 45);
    CHECK(started <= 55);
    CHECK(gate.load(start + 10s).limit == 1);

    gate.setRateLimit(std::nullopt, start + 10s);
    CHECK(gate.load(start + 10s).limit > 1);
}
