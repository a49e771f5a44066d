#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <egretlatch/core/uuid.hpp>

using namespace egretlatch;

TEST_CASE("a minted UUID encodes its time with millisecond precision")
{
    SeededRandom random{7};
    UuidGenerator uuidGenerator{random};
    const WallTime now{std::chrono::milliseconds{1'790'000'000'123}};

    const Uuid uuid = uuidGenerator.generate(now);

    CHECK(uuid.mintedAt() == now);
    CHECK(uuid.toString()[14] == '7');
}

TEST_CASE("parsing rejects text in any other format")
{
    CHECK_FALSE(Uuid::parse(""));
    CHECK_FALSE(Uuid::parse("0190a6f0-0000-7000-8000-00000000000"));
    CHECK_FALSE(Uuid::parse("0190a6f0-0000-7000-8000-00000000000g"));
    CHECK_FALSE(Uuid::parse("0190a6f000000-7000-8000-000000000000"));
}

TEST_CASE("any 16 bytes round-trip through text and bytes")
{
    CHECK(rc::check([](const std::array<std::uint8_t, Uuid::size> &bytes) {
        const Uuid uuid{bytes};
        RC_ASSERT(Uuid::parse(uuid.toString()) == uuid);
        RC_ASSERT(Uuid::fromBytes(uuid.toBytes()) == uuid);
    }));
}
