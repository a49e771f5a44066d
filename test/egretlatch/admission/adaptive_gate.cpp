#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

#include <egretlatch/admission/adaptive_gate.hpp>

#include <egretlatch/admission/tickets.hpp>

using namespace egretlatch;
using namespace egretlatch::admission;
using namespace tests;

TEST_CASE("a request takes a free slot at once")
{
    AdaptiveGate gate;
    gate.setSlots(2);

    CHECK(gate.offer(rootTicket(1, 0), start).started == std::vector{ExecutionId{1}});
    CHECK(gate.offer(rootTicket(2, 9), start).started == std::vector{ExecutionId{2}});
    CHECK(gate.offer(rootTicket(3, 9), start).started.empty());
}

TEST_CASE("a freed slot goes to the root of the highest priority, regardless of arrival order")
{
    AdaptiveGate gate;
    gate.setSlots(1);
    static_cast<void>(gate.offer(rootTicket(1, 5), start));
    static_cast<void>(gate.offer(rootTicket(2, 3), start));
    static_cast<void>(gate.offer(rootTicket(3, 9), start));

    const GateRelease release = gate.finish({1}, success(10ms), start + 10ms);

    CHECK(release.started == std::vector{ExecutionId{3}});
}

TEST_CASE("an inner call precedes a new root of its class, but not one of a higher priority")
{
    AdaptiveGate gate;
    gate.setSlots(1);
    static_cast<void>(gate.offer(rootTicket(1, 5), start));
    static_cast<void>(gate.offer(rootTicket(2, 5), start));
    static_cast<void>(gate.offer(innerTicket(3, 5, 40ms), start));
    static_cast<void>(gate.offer(rootTicket(4, 9), start));

    CHECK(gate.finish({1}, success(1ms), start + 1ms).started == std::vector{ExecutionId{4}});
    CHECK(gate.finish({4}, success(1ms), start + 2ms).started == std::vector{ExecutionId{3}});
    CHECK(gate.finish({3}, success(1ms), start + 3ms).started == std::vector{ExecutionId{2}});
}

TEST_CASE("a request that does not fit in the queue is refused at once, with figures and a retry delay")
{
    // Guards against requests that wait until their deadline at a full server: their callers could not go elsewhere. The
    // refusal must come in the same step as the offer.
    AdaptiveGate gate;
    gate.setSlots(1);
    std::vector<GateRefusal> refused;
    for (std::uint64_t number = 1; number <= 10; ++number) {
        GateRelease release = gate.offer(rootTicket(number, 3), start);
        refused.insert(refused.end(), release.refused.begin(), release.refused.end());
    }

    REQUIRE_FALSE(refused.empty());
    CHECK(account::isOverload(refused.front().reason));
    CHECK_FALSE(refused.front().rule.empty());
    CHECK_FALSE(refused.front().figures.empty());
    CHECK(refused.front().retryAfter > 0ms);
}

TEST_CASE("a request with less remaining time than any recent run is refused without running")
{
    // Guards against runs that cannot complete: a service has become slow and each run takes 400 ms, so a request with 100
    // ms left would hold a slot until its deadline for nothing. One second after the last slow run the kind is tried again.
    AdaptiveGate gate;
    gate.setSlots(4);
    static_cast<void>(gate.offer(rootTicket(1, 5), start));
    static_cast<void>(gate.finish({1}, success(400ms), start + 400ms));

    Ticket hurried = rootTicket(2, 5, start + 400ms);
    hurried.deadline = start + 500ms;
    const GateRelease refused = gate.offer(hurried, start + 400ms);
    Ticket later = rootTicket(3, 5, start + 2s);
    later.deadline = start + 2s + 100ms;

    REQUIRE(refused.refused.size() == 1);
    CHECK((refused.refused.front().reason == account::RefusalReason::deadlinePassed));
    CHECK(gate.offer(later, start + 2s).started == std::vector{ExecutionId{3}});
}

TEST_CASE("an inner call holds upstream slots for at most four times the queue target")
{
    // Guards against inner calls that block upstream slots: a history request waits at launch-log behind launch entries
    // that never end, while the run that made it holds a slot of flight-history until its deadline, and other histories
    // find no slot.
    AdaptiveGate gate;
    gate.setSlots(1);
    gate.setQueueTarget(20ms);
    static_cast<void>(gate.offer(rootTicket(1, 9), start));
    static_cast<void>(gate.offer(innerTicket(2, 3, 10ms), start));

    CHECK(gate.tick(start + 70ms).refused.empty());
    CHECK(gate.tick(start + 90ms).refused.size() == 1);
}

TEST_CASE("the level rises within tens of milliseconds of a surge and is reset one second after it")
{
    // Guards against overload that outlasts its cause: callers send five times the server's capacity, then stop. If the
    // level stayed up, the entries would refuse requests that an idle server could run.
    AdaptiveGate gate;
    gate.setSlots(4);
    std::vector<ExecutionId> running;
    std::uint64_t number = 0;
    SteadyTime now = start;
    const auto step = [&](const int arrivals) {
        now += 10ms;
        const std::vector<ExecutionId> ended = std::move(running);
        running.clear();
        const auto take = [&running](const GateRelease &release) {
            running.insert(running.end(), release.started.begin(), release.started.end());
        };
        for (const ExecutionId execution : ended) {
            take(gate.finish(execution, success(10ms), now));
        }
        for (int count = 0; count < arrivals; ++count) {
            ++number;
            take(gate.offer(rootTicket(number, 3, now), now));
        }
        take(gate.tick(now));
    };
    for (int count = 0; count < 8; ++count) {
        step(20);
    }
    const Level inSurge = gate.load(now).level;
    for (int count = 0; count < 100; ++count) {
        step(1);
    }

    CHECK(inSurge > Level{});
    CHECK(gate.load(now).level == Level{});
}

TEST_CASE("under random operations the limit holds, expired requests never start and no request is lost")
{
    CHECK(rc::check([] {
        AdaptiveGate gate;
        const int slots = *rc::gen::inRange(1, 6);
        gate.setSlots(slots);
        std::map<ExecutionId, Ticket> waiting;
        std::map<ExecutionId, Ticket> running;
        SteadyTime now = start;
        std::uint64_t number = 0;
        const auto apply = [&](const GateRelease &release) {
            for (const GateRefusal &refusal : release.refused) {
                RC_ASSERT(waiting.erase(refusal.execution) == 1U);
            }
            for (const ExecutionId execution : release.started) {
                const auto found = waiting.find(execution);
                RC_ASSERT(found != waiting.end());
                RC_ASSERT(found->second.deadline > now);
                running.insert(*found);
                waiting.erase(found);
            }
            RC_ASSERT(static_cast<int>(running.size()) <= slots);
            RC_ASSERT(gate.load(now).queued == static_cast<int>(waiting.size()));
        };
        const int steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds{*rc::gen::inRange(0, 20)};
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                apply(gate.tick(now));
                break;
            case 1:
                if (!running.empty()) {
                    const ExecutionId execution = running.begin()->first;
                    running.erase(execution);
                    const auto outcome =
                        *rc::gen::element(RunOutcome::succeeded, RunOutcome::failed, RunOutcome::rejected, RunOutcome::lost, RunOutcome::abandoned);
                    apply(gate.finish(execution, {.outcome = outcome, .latency = 10ms, .waitedForInner = {}}, now));
                }
                break;
            case 2:
                if (!waiting.empty()) {
                    const ExecutionId execution = waiting.begin()->first;
                    RC_ASSERT(gate.withdraw(execution));
                    waiting.erase(execution);
                }
                break;
            default: {
                Ticket ticket = rootTicket(++number, *rc::gen::inRange(0, 10), now);
                ticket.isInner = *rc::gen::arbitrary<bool>();
                ticket.deadline = now + std::chrono::milliseconds{*rc::gen::inRange(0, 200)};
                waiting.emplace(ticket.execution, ticket);
                apply(gate.offer(ticket, now));
                break;
            }
            }
        }
    }));
}
