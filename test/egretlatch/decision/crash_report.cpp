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

TEST_CASE("lost answers count as a crash only if the server then refuses connections or is replaced")
{
    CrashDetector detector;
    detector.noteLostRun(1, start);
    detector.noteLostRun(2, start);
    CHECK(detector.noteConnectFailure(start + 100ms) == std::vector<admission::RequestFingerprint>{1, 2});
    // Reported once: a server that stays down does not crash again with each refused connection.
    CHECK(detector.noteConnectFailure(start + 200ms).empty());

    detector.noteLostRun(3, start + 10s);
    CHECK(detector.noteConnectFailure(start + 20s).empty());

    detector.noteLostRun(4, start + 30s);
    CHECK(detector.noteReplacement(start + 35s) == std::vector<admission::RequestFingerprint>{4});
    CHECK(detector.noteReplacement(start + 36s).empty());
}

TEST_CASE("crashes reported by several daemons add up to a quarantine, and a successful run ends it")
{
    admission::CrashSuspects suspects;
    for (const char *const daemon : {"a", "b"}) {
        CrashReport::forCrash({daemon}, {1}, 1, {7, 8}).apply(suspects, start);
    }
    CrashReport::forCrash({"b"}, {1}, 2, {7, 8}).apply(suspects, start);
    CHECK(suspects.isQuarantined(7, start));

    CrashReport::forSuccess({"a"}, {1}, 2, 8).apply(suspects, start);

    CHECK(suspects.isQuarantined(7, start));
    CHECK_FALSE(suspects.isQuarantined(8, start));
}

TEST_CASE("a harmless request is not quarantined if reports of its successful runs arrive before the crash reports")
{
    admission::CrashSuspects suspects;
    for (const std::uint64_t number : {1, 2, 3}) {
        CrashReport::forSuccess({"a"}, {1}, number, 8).apply(suspects, start);
    }
    for (const std::uint64_t number : {1, 2, 3}) {
        CrashReport::forCrash({"b"}, {1}, number, {7, 8}).apply(suspects, start + 1s);
    }

    CHECK(suspects.isQuarantined(7, start + 1s));
    CHECK_FALSE(suspects.isQuarantined(8, start + 1s));
}

TEST_CASE("an expired successful run does not clear a request that crashes servers now")
{
    admission::CrashSuspects suspects;
    CrashReport::forSuccess({"a"}, {1}, 1, 7).apply(suspects, start);
    for (const std::uint64_t number : {1, 2, 3}) {
        CrashReport::forCrash({"b"}, {1}, number, {7}).apply(suspects, start + admission::CrashSuspects::successLifetime);
    }

    CHECK(suspects.isQuarantined(7, start + admission::CrashSuspects::successLifetime));
}
