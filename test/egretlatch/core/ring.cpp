#include <doctest/doctest.h>

#include <egretlatch/core/ring.hpp>

using namespace egretlatch;

namespace
{

struct CountingWaker final : Waker
{
    int wakes{};

    void wake() override
    {
        ++wakes;
    }
};

} // namespace

TEST_CASE("values are popped in order, and each push wakes the consumer")
{
    CountingWaker waker;
    Ring<int> ring{4, waker};
    REQUIRE(ring.tryPush(1));
    REQUIRE(ring.tryPush(2));
    CHECK(waker.wakes == 2);
    CHECK(*ring.tryPop() == 1);
    CHECK(*ring.tryPop() == 2);
    CHECK(ring.tryPop() == nullptr);
}

TEST_CASE("a full ring rejects a push immediately")
{
    CountingWaker waker;
    Ring<int> ring{2, waker};
    REQUIRE(ring.tryPush(1));
    REQUIRE(ring.tryPush(2));
    CHECK_FALSE(ring.tryPush(3));
    CHECK(waker.wakes == 2);
}
