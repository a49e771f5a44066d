#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <platform_store.hpp>

#include <egretlatch/core/random_source.hpp>
#include <egretlatch/store/identified_write.hpp>

using namespace egretlatch;
using namespace egretlatch::store;

namespace
{

const Outcome lost = tl::unexpected{Error{ErrorCode::timedOut, "lost"}};

[[nodiscard]] IdentifiedWrite makeWrite(const std::string &id)
{
    TableWrite write{.conditions = {{.key = "marker", .version = 0}}, .writes = {{.key = "marker", .value = id}}};
    return {std::move(write), "marker", [id](const std::string &value) {
                return value == id;
            }};
}

} // namespace

TEST_CASE("a write whose answer was lost is recognized by its own id")
{
    // The platform's answer to an operator's change is lost after the write took effect. Without reading back, the tool would
    // send the write again, get a conflict with its own first attempt, and tell the operator to start over.
    standin::PlatformStore store;
    IdentifiedWrite write = makeWrite("mine");
    static_cast<void>(store.apply(write.request()));
    REQUIRE(write.handleOutcome(lost) == WriteStep::sendLater);
    CHECK(write.isOutcomeUnknown());
    CHECK(write.handleOutcome(store.apply(write.request())) == WriteStep::applied);
    CHECK_FALSE(write.isOutcomeUnknown());
}

TEST_CASE("a write that never arrived is sent again")
{
    standin::PlatformStore store;
    IdentifiedWrite write = makeWrite("mine");
    REQUIRE(write.handleOutcome(lost) == WriteStep::sendLater);
    REQUIRE(write.handleOutcome(store.apply(write.request())) == WriteStep::send);
    CHECK(write.handleOutcome(store.apply(write.request())) == WriteStep::applied);
}

TEST_CASE("an attempt that arrives late, after the resend, is not taken for another writer's")
{
    // The first attempt is delayed in transit, the read finds nothing, and the attempt arrives just before the second one.
    // The second then gets a conflict caused by its own first attempt.
    standin::PlatformStore store;
    IdentifiedWrite write = makeWrite("mine");
    const Request delayed = write.request();
    REQUIRE(write.handleOutcome(lost) == WriteStep::sendLater);
    REQUIRE(write.handleOutcome(store.apply(write.request())) == WriteStep::send);
    static_cast<void>(store.apply(delayed));
    REQUIRE(write.handleOutcome(store.apply(write.request())) == WriteStep::send);
    CHECK(write.handleOutcome(store.apply(write.request())) == WriteStep::applied);
}

TEST_CASE("of concurrent writers that lose answers at random exactly one takes effect, and each learns its outcome")
{
    CHECK(rc::check([](const std::uint64_t seed) {
        SeededRandom random{seed};
        standin::PlatformStore store;
        constexpr std::size_t writers = 4;
        std::vector<IdentifiedWrite> writes;
        std::vector<WriteStep> steps(writers, WriteStep::send);
        for (std::size_t index = 0; index < writers; ++index) {
            writes.push_back(makeWrite("writer-" + std::to_string(index)));
        }
        std::vector<Request> delayed;
        for (int round = 0; round < 400; ++round) {
            const std::size_t index = random.below(writers);
            if (steps[index] == WriteStep::applied || steps[index] == WriteStep::rejected) {
                continue;
            }
            const Request request = writes[index].request();
            const std::uint64_t choice = round < 200 ? random.below(4) : 0;
            if (choice == 0) {
                steps[index] = writes[index].handleOutcome(store.apply(request));
            } else if (choice == 1) {
                static_cast<void>(store.apply(request));
                steps[index] = writes[index].handleOutcome(lost);
            } else {
                delayed.push_back(request);
                steps[index] = writes[index].handleOutcome(lost);
            }
            if (!delayed.empty() && random.below(2) == 0) {
                static_cast<void>(store.apply(delayed.back()));
                delayed.pop_back();
            }
        }
        const std::string winner = std::get<RowsReply>(*store.apply(TableRead{.key = "marker"})).rows.front().value;
        for (std::size_t index = 0; index < writers; ++index) {
            const bool hasWon = winner == "writer-" + std::to_string(index);
            RC_ASSERT(steps[index] == (hasWon ? WriteStep::applied : WriteStep::rejected));
        }
    }));
}
