#include <doctest/doctest.h>

#include <egretlatch/configuration/confirmation.hpp>

using namespace egretlatch;
using namespace egretlatch::configuration;
using namespace std::chrono_literals;

TEST_CASE("a daemon that hears nobody any more reads soon, also if it waited for its turn among many")
{
    // Guards against a daemon that was cut off from the others, and reads the store only when its turn in a large fleet comes.
    constexpr std::size_t daemons = 750;
    constexpr std::chrono::milliseconds step{50};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SeededRandom random{seed};
        Confirmation confirmation{random};
        const SteadyTime cutAt{1h};
        // The latest confirmation was older than the latest advert, so it becomes old while others still count as heard.
        confirmation.note(cutAt - 500ms);
        confirmation.noteHeard(cutAt);
        SteadyTime now = cutAt;
        while (confirmation.reasonToRead(ReadDuty::none, daemons, false, now) == ReadReason::none && now < cutAt + 10s) {
            now += step;
        }
        CAPTURE(seed);
        CHECK(now - cutAt <= 3s);
    }
}
