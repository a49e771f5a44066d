#include <doctest/doctest.h>

#include <egretlatch/membership/contact_book.hpp>

using namespace std::chrono_literals;
using namespace egretlatch;
using egretlatch::membership::Contact;
using egretlatch::membership::ContactBook;

namespace
{

constexpr std::uint64_t seed = 20261202;

struct Counts
{
    int reads{};
    int writes{};
};

// Counts the requests of a fleet of the given size in ten minutes.
[[nodiscard]] Counts countRequests(const std::size_t daemons)
{
    Counts counts;
    for (std::size_t index = 0; index < daemons; ++index) {
        SeededRandom random{seed + index};
        ContactBook book{{.id = {std::to_string(index)}, .endpoint = "tcp://10.0.0.1:1"}, random};
        for (SteadyTime now{1h}; now < SteadyTime{1h} + 10min; now += 1s) {
            const auto request = book.tick(daemons - 1, now);
            counts.reads += request.has_value() && std::holds_alternative<store::TableScan>(*request) ? 1 : 0;
            counts.writes += request.has_value() && std::holds_alternative<store::TableWrite>(*request) ? 1 : 0;
        }
    }
    return counts;
}

} // namespace

TEST_CASE("the number of contact row writes does not grow with the fleet")
{
    // If each of 750 daemons refreshed a row, the writes would compete with configurations and key grants for the store's
    // capacity, and more so in a larger fleet.
    const Counts small = countRequests(16);
    const Counts large = countRequests(750);
    MESSAGE("writes in ten minutes: ", small.writes, " at 16 daemons, ", large.writes, " at 750");
    CHECK(large.writes < 2 * small.writes);
    CHECK(large.reads == 0);
}

TEST_CASE("an isolated daemon reads the rows at once and again later, and skips rows that it cannot parse")
{
    SeededRandom random{seed};
    ContactBook book{{.id = {"self"}, .endpoint = "tcp://10.0.0.1:1"}, random};
    const auto first = book.tick(0, SteadyTime{1h});
    REQUIRE(first.has_value());
    CHECK(std::holds_alternative<store::TableScan>(*first));
    CHECK(book.handleOutcome(tl::unexpected{Error{ErrorCode::unavailable, "down"}}).empty());

    const store::RowsReply rows{.rows = {{.key = "contact/01", .value = "self\ntcp://10.0.0.1:1", .version = 1},
                                         {.key = "contact/02", .value = "other\ntcp://10.0.0.2:1", .version = 1},
                                         {.key = "contact/03", .value = "torn", .version = 1}}};
    CHECK(book.handleOutcome(rows) == std::vector<Contact>{{.id = {"other"}, .endpoint = "tcp://10.0.0.2:1"}});
    bool readsAgain = false;
    for (SteadyTime now{1h}; now < SteadyTime{1h} + 30s; now += 1s) {
        const auto request = book.tick(0, now);
        readsAgain = readsAgain || (request.has_value() && std::holds_alternative<store::TableScan>(*request));
    }
    CHECK(readsAgain);
}
