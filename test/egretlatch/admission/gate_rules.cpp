#include <doctest/doctest.h>

#include <egretlatch/admission/adaptive_gate.hpp>

#include <egretlatch/admission/tickets.hpp>

using namespace egretlatch;
using namespace egretlatch::admission;
using namespace tests;

TEST_CASE("a gate that keeps inner calls refuses roots instead, and never an inner call that can still finish")
{
    // Guards against wasted work: a root has run for half a second at three services and its last call is refused for lack
    // of capacity, so its caller sends it again. Excess load must be refused as roots, which have used no slot time.
    AdaptiveGate gate{{.areSlotsTrusted = true, .keepsInnerCalls = true, .minDrainTarget = 0ms, .level = {}}};
    gate.setSlots(1);
    std::size_t refusedInner = 0;
    std::size_t refusedRoots = 0;
    const auto count = [&](const GateRelease &release) {
        for (const GateRefusal &refusal : release.refused) {
            (refusal.execution.value % 2 == 0 ? refusedInner : refusedRoots) += 1;
        }
    };
    for (std::uint64_t number = 1; number <= 40; ++number) {
        count(gate.offer(number % 2 == 0 ? innerTicket(number, 3, 400ms) : rootTicket(number, 3), start));
    }
    for (int step = 1; step <= 20; ++step) {
        count(gate.tick(start + step * 10ms));
    }
    CHECK(refusedInner == 0);
    CHECK(refusedRoots > 10);
}

TEST_CASE("a gate that trusts the slots keeps its limit when the server rejects requests or loses connections")
{
    // Half of the answers of healthy servers are lost, or half of the requests are shed at random. Backing off left one
    // slot of eleven in use, and roots were refused for an idle service.
    const auto slotsInUse = [](const GateRules &rules) {
        AdaptiveGate gate{rules};
        gate.setSlots(8);
        for (std::uint64_t number = 1; number <= 40; ++number) {
            const SteadyTime now = start + number * 200ms;
            static_cast<void>(gate.offer(rootTicket(number, 3), now));
            const Observation lost{.outcome = number % 2 == 0 ? RunOutcome::rejected : RunOutcome::lost, .latency = 5ms, .waitedForInner = {}};
            static_cast<void>(gate.finish({number}, lost, now + 5ms));
        }
        return gate.load(start + 10s).limit;
    };
    CHECK(slotsInUse({}) < 8);
    CHECK(slotsInUse({.areSlotsTrusted = true, .keepsInnerCalls = false, .minDrainTarget = 0ms, .level = {}}) == 8);
}
