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
    TableWrite write{.conditions = {{.key = "witness", .version = 0}}, .writes = {{.key = "witness", .value = id}}};
    return {std::move(write), "witness", [id](const std::string &value) {
                return value == id;
            }};
}

} // namespace

TEST_CASE("a write whose answer was lost is found by its own id")
{
    // An operator submits a change and the platform's answer is lost after the write took effect. Without reading back,
    // the tool would send the write again, meet its own effect as a conflict, and tell the operator to start over.
    standin::PlatformStore store;
    IdentifiedWrite write = makeWrite("mine");
    static_cast<void>(store.apply(write.request()));
    REQUIRE(write.take(lost) == WriteStep::askLater);
    CHECK(write.isOutcomeUnknown());
    CHECK(write.take(store.apply(write.request())) == WriteStep::applied);
    CHECK_FALSE(write.isOutcomeUnknown());
}

TEST_CASE("a write that never arrived is sent again")
{
    standin::PlatformStore store;
    IdentifiedWrite write = makeWrite("mine");
    REQUIRE(write.take(lost) == WriteStep::askLater);
    REQUIRE(write.take(store.apply(write.request())) == WriteStep::ask);
    CHECK(write.take(store.apply(write.request())) == WriteStep::applied);
}

TEST_CASE("a write that arrives late, after it was sent again, is not taken for another's")
{
    // The first attempt is delayed on the way, the read finds nothing, and the attempt lands just before the second one.
    // The second then meets a conflict that its own first attempt has caused.
    standin::PlatformStore store;
    IdentifiedWrite write = makeWrite("mine");
    const Request delayed = write.request();
    REQUIRE(write.take(lost) == WriteStep::askLater);
    REQUIRE(write.take(store.apply(write.request())) == WriteStep::ask);
    static_cast<void>(store.apply(delayed));
    REQUIRE(write.take(store.apply(write.request())) == WriteStep::ask);
    CHECK(write.take(store.apply(write.request())) == WriteStep::applied);
}

TEST_CASE("of writers that lose answers at random exactly one takes effect, and each knows how it ended")
{
    CHECK(rc::check([](const std::uint64_t seed) {
        SeededRandom random{seed};
        standin::PlatformStore store;
        constexpr std::size_t writers = 4;
        std::vector<IdentifiedWrite> writes;
        std::vector<WriteStep> steps(writers, WriteStep::ask);
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
            const std::uint64_t fate = round < 200 ? random.below(4) : 0;
            if (fate == 0) {
                steps[index] = writes[index].take(store.apply(request));
            } else if (fate == 1) {
                static_cast<void>(store.apply(request));
                steps[index] = writes[index].take(lost);
            } else {
                delayed.push_back(request);
                steps[index] = writes[index].take(lost);
            }
            if (!delayed.empty() && random.below(2) == 0) {
                static_cast<void>(store.apply(delayed.back()));
                delayed.pop_back();
            }
        }
        const std::string winner = std::get<RowsReply>(*store.apply(TableRead{.key = "witness"})).rows.front().value;
        for (std::size_t index = 0; index < writers; ++index) {
            const bool hasWon = winner == "writer-" + std::to_string(index);
            RC_ASSERT(steps[index] == (hasWon ? WriteStep::applied : WriteStep::rejected));
        }
    }));
}
