#include <doctest/doctest.h>

#include <egretlatch/decision/crash_detector.hpp>
#include <egretlatch/decision/crash_report.hpp>

using namespace egretlatch;
using namespace egretlatch::decision;
using namespace std::chrono_literals;

namespace
{

constexpr SteadyTime start{std::chrono::hours{1}};

} // namespace

TEST_CASE("a server that loses answers and goes on taking connections has not crashed")
{
    CrashDetector witness;
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
        CrashReport::crashed({daemon}, {1}, 1, {7, 8}).apply(suspects, start);
    }
    CrashReport::crashed({"b"}, {1}, 2, {7, 8}).apply(suspects, start);
    CHECK(suspects.isQuarantined(7, start));

    CrashReport::ranWell({"a"}, {1}, 2, 8).apply(suspects, start);

    CHECK(suspects.isQuarantined(7, start));
    CHECK_FALSE(suspects.isQuarantined(8, start));
}

TEST_CASE("a sound request is not refused where the news of its good runs come before those of the crashes")
{
    admission::CrashSuspects suspects;
    for (const std::uint64_t number : {1, 2, 3}) {
        CrashReport::ranWell({"a"}, {1}, number, 8).apply(suspects, start);
    }
    for (const std::uint64_t number : {1, 2, 3}) {
        CrashReport::crashed({"b"}, {1}, number, {7, 8}).apply(suspects, start + 1s);
    }

    CHECK(suspects.isQuarantined(7, start + 1s));
    CHECK_FALSE(suspects.isQuarantined(8, start + 1s));
}

TEST_CASE("a good run long ago does not speak for a request that crashes servers now")
{
    admission::CrashSuspects suspects;
    CrashReport::ranWell({"a"}, {1}, 1, 7).apply(suspects, start);
    for (const std::uint64_t number : {1, 2, 3}) {
        CrashReport::crashed({"b"}, {1}, number, {7}).apply(suspects, start + admission::CrashSuspects::successLifetime);
    }

    CHECK(suspects.isQuarantined(7, start + admission::CrashSuspects::successLifetime));
}
