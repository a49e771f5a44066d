#include <doctest/doctest.h>

#include <egretlatch/admission/adaptive_gate.hpp>
#include <egretlatch/admission/whole_chain_entry.hpp>
#include <egretlatch/core/random_source.hpp>

#include <egretlatch/admission/tickets.hpp>

using namespace egretlatch;
using namespace egretlatch::admission;
using namespace tests;

namespace
{

const KindName valuation{"valuations", "view"};
const KindName booking{"bookings", "book"};
const KindName lookup{"bookings", "lookup"};

[[nodiscard]] manifest::ServiceSpec serviceOf(const KindName &name)
{
    manifest::KindSpec kind;
    kind.name = name.second;
    kind.priority = 7;
    kind.worth = 1.0;
    manifest::ServiceSpec service;
    service.name = name.first;
    service.slots = 4;
    service.connections = 4;
    service.kinds = {kind};
    return service;
}

struct ObservedEntry
{
    ObservedEntry()
    {
        control.setManifest(manifest::ManifestBuilder{}.addService(serviceOf(valuation)).addService(serviceOf(booking)).build());
        control.noteChain(valuation, {{"valuations", 500ms}, {"bookings", 440ms}});
        control.noteChain(booking, {{"bookings", 180ms}});
    }

    [[nodiscard]] RankClass classOfCall(const KindName &root, const std::string &kind) const
    {
        return control.classAt("bookings", kind, control.rankOf(root.first, root.second), control.costsOf(root.first, root.second));
    }

    SeededRandom random{1};
    WholeChainEntry control{random, CostSource::observed};
};

} // namespace

TEST_CASE("of two roots of one rank the one with less total slot time at a service goes first there, regardless of single calls")
{
    // The eight calls of a valuation take more slot time in total than one booking, although each of them is shorter.
    const ObservedEntry entry;
    CHECK(entry.classOfCall(booking, booking.second) > entry.classOfCall(valuation, lookup.second));
}

TEST_CASE("a root without observed costs goes after those of its rank and before those of lower priority")
{
    const ObservedEntry entry;
    const Rank rank{.priority = 7, .worth = 1.0, .invested = {}};
    const RankClass unknown = entry.control.classAt("bookings", lookup.second, rank, {});
    CHECK(unknown < entry.classOfCall(valuation, lookup.second));
    CHECK(unknown
          > entry.control.classAt("bookings", lookup.second, {.priority = 6, .worth = 1.0, .invested = {}}, RootCosts{SlotTimeByService{{"bookings", 1ms}}}));
}

TEST_CASE("the mean of reported slot times ignores reports of an unknown chain")
{
    // Guards against a mean that starts at zero: the first daemon to report a kind did not know the downstream service yet,
    // so the kind seemed thirty times cheaper than it was for its first minute. In one data centre nearly all of its
    // requests were refused, in another none.
    LearnedChains chains;
    chains.noteChain(valuation, {{"valuations", 500ms}, {"bookings", 0ms}});
    chains.noteChain(valuation, {{"valuations", 500ms}, {"bookings", 400ms}});
    chains.noteChain(valuation, {{"valuations", 500ms}, {"bookings", 0ms}});
    chains.noteChain(valuation, {{"valuations", 500ms}, {"bookings", 400ms}});
    CHECK(chains.chain(valuation).at("bookings") == 400ms);
    for (int telling = 0; telling < 100; ++telling) {
        chains.noteChain(valuation, {{"valuations", 500ms}, {"bookings", telling % 2 == 0 ? 280ms : 640ms}});
    }
    CHECK(chains.chain(valuation).at("bookings") > 430ms);
    CHECK(chains.chain(valuation).at("bookings") < 490ms);
}

TEST_CASE("bookings get slots at a service that inner calls of more expensive roots would fill")
{
    // Guards against bookings that wait for a third of a second and are then refused, while the service runs calls of roots
    // with less worth for its slot time. It has four slots; lookups ask for six of them, bookings for one.
    const ObservedEntry entry;
    AdaptiveGate gate{{.areSlotsTrusted = true, .keepsInnerCalls = true, .minDrainTarget = 80ms, .level = {}}};
    gate.setSlots(4);
    std::map<SteadyTime, std::vector<std::uint64_t>> ends;
    int bookingsStarted = 0;
    int bookingsRefused = 0;
    const auto isBooking = [](const ExecutionId execution) {
        return execution.value % 20 == 0;
    };
    const auto apply = [&](const GateRelease &release, const SteadyTime now) {
        for (const ExecutionId started : release.started) {
            bookingsStarted += isBooking(started) ? 1 : 0;
            ends[now + (isBooking(started) ? 180ms : 55ms)].push_back(started.value);
        }
        for (const GateRefusal &refusal : release.refused) {
            bookingsRefused += isBooking(refusal.execution) ? 1 : 0;
        }
    };
    for (std::uint64_t number = 1; number <= 1200; ++number) {
        const SteadyTime now = start + number * 9ms;
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto due = ends.extract(ends.begin());
            for (const std::uint64_t ended : due.mapped()) {
                apply(gate.finish({ended}, success(isBooking({ended}) ? 180ms : 55ms), due.key()), due.key());
            }
        }
        Ticket ticket = isBooking({number}) ? rootTicket(number, 7, now) : innerTicket(number, 7, 300ms);
        ticket.arrived = now;
        ticket.deadline = now + 700ms;
        ticket.kind = isBooking({number}) ? booking.second : lookup.second;
        ticket.rankClass = isBooking({number}) ? entry.classOfCall(booking, booking.second) : entry.classOfCall(valuation, lookup.second);
        apply(gate.offer(ticket, now), now);
        apply(gate.tick(now), now);
    }
    CHECK(bookingsStarted >= 57);
    CHECK(bookingsRefused <= 3);
}
