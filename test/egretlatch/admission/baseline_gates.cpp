#include <doctest/doctest.h>

#include <egretlatch/admission/open_gate.hpp>
#include <egretlatch/admission/priority_gate.hpp>
#include <egretlatch/admission/static_gate.hpp>

#include <egretlatch/admission/tickets.hpp>

using namespace egretlatch;
using namespace egretlatch::admission;
using namespace tests;

TEST_CASE("the open gate starts every request at once")
{
    OpenGate gate;
    gate.setSlots(1);
    for (std::uint64_t number = 1; number <= 50; ++number) {
        CHECK(gate.offer(rootTicket(number, 0), start).started.size() == 1);
    }
    CHECK(gate.load(start).inFlight == 50);
}

TEST_CASE("the static gate starts in order of arrival, the priority gate by priority")
{
    StaticGate byArrival{1, 10};
    PriorityGate byPriority{1, 10};
    for (Gate *const gate : std::initializer_list<Gate *>{&byArrival, &byPriority}) {
        static_cast<void>(gate->offer(rootTicket(1, 5), start));
        static_cast<void>(gate->offer(rootTicket(2, 1), start));
        static_cast<void>(gate->offer(rootTicket(3, 9), start));
    }

    CHECK(byArrival.finish({1}, success(1ms), start).started == std::vector{ExecutionId{2}});
    CHECK(byPriority.finish({1}, success(1ms), start).started == std::vector{ExecutionId{3}});
}

TEST_CASE("a full priority gate refuses the latest of the lowest priority")
{
    PriorityGate gate{1, 2};
    static_cast<void>(gate.offer(rootTicket(1, 5), start));
    static_cast<void>(gate.offer(rootTicket(2, 1), start));
    static_cast<void>(gate.offer(rootTicket(3, 1), start));

    const GateRelease release = gate.offer(rootTicket(4, 9), start);

    REQUIRE(release.refused.size() == 1);
    CHECK(release.refused.front().execution == ExecutionId{3});
    CHECK(gate.withdraw({2}));
    CHECK_FALSE(gate.withdraw({2}));
}
