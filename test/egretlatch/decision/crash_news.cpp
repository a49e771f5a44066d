#include <doctest/doctest.h>

#include <egretlatch/decision/crash_news.hpp>
#include <egretlatch/decision/crash_witness.hpp>

using namespace egretlatch;
using namespace egretlatch::decision;
using namespace std::chrono_literals;

namespace
{

constexpr SteadyTime start{std::chrono::hours{1}};

} // namespace

TEST_CASE("a server that loses answers and goes on taking connections has not crashed")
{
    CrashWitness witness;
    witness.noteLost(1, start);
    witness.noteLost(2, start);
    CHECK(witness.noteNeverConnected(start + 100ms) == std::vector<admission::RequestFingerprint>{1, 2});
    // Told once; a server that is down for long does not crash with each refused connection.
    CHECK(witness.noteNeverConnected(start + 200ms).empty());

    witness.noteLost(3, start + 10s);
    CHECK(witness.noteNeverConnected(start + 20s).empty());

    witness.noteLost(4, start + 30s);
    CHECK(witness.noteReplaced(start + 35s) == std::vector<admission::RequestFingerprint>{4});
    CHECK(witness.noteReplaced(start + 36s).empty());
}

TEST_CASE("crashes that daemons tell of add up to a quarantine, and a good run ends it")
{
    admission::CrashSuspects suspects;
    for (const char *const daemon : {"a", "b"}) {
        CrashNews::crashed({daemon}, {1}, 1, {7, 8}).apply(suspects, start);
    }
    CrashNews::crashed({"b"}, {1}, 2, {7, 8}).apply(suspects, start);
    CHECK(suspects.isQuarantined(7, start));

    CrashNews::ranWell({"a"}, {1}, 2, 8).apply(suspects, start);

    CHECK(suspects.isQuarantined(7, start));
    CHECK_FALSE(suspects.isQuarantined(8, start));
}
