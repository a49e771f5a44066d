#include <doctest/doctest.h>

#include <egretlatch/decision/crash_detector.hpp>
#include <egretlatch/decision/crash_report.hpp>

using namespace egretlatch;
using namespace egretlatch::decision;
using namespace std::chrono_literals;

namespace
{

constexpr SteadyTime start{std::chrono::hours{1}};

using Identities = std::vector<admission::RequestIdentity>;

admission::RequestIdentity request(const std::uint64_t content)
{
    return {.content = content, .caller = 1};
}

CrashedRuns broken(const Identities &requests)
{
    return {.broken = requests, .unanswered = {}};
}

CrashedRuns unanswered(const Identities &requests)
{
    return {.broken = {}, .unanswered = requests};
}

void applyCrash(admission::CrashSuspects &suspects, const char *const daemon, const std::uint64_t number, const Identities &running, const SteadyTime now)
{
    for (const CrashReport &report : CrashReport::forCrash({daemon}, {1}, number, 0, broken(running))) {
        report.apply(suspects, now);
    }
}

bool isQuarantined(const admission::CrashSuspects &suspects, const std::uint64_t content, const SteadyTime now)
{
    return suspects.suspicionOf(request(content), now) == admission::Suspicion::quarantined;
}

} // namespace

TEST_CASE("lost answers count as a crash only if the server then refuses connections or is replaced")
{
    CrashDetector detector;
    detector.noteLostRun(request(1), start);
    detector.noteLostRun(request(2), start);
    CHECK(detector.noteConnectFailure(start + 100ms) == broken({request(1), request(2)}));
    // Reported once: a server that stays down does not crash again with each refused connection.
    CHECK(detector.noteConnectFailure(start + 200ms).isEmpty());

    detector.noteLostRun(request(3), start + 10s);
    CHECK(detector.noteConnectFailure(start + 20s).isEmpty());
    // The server still announces itself, so it did not crash then.
    detector.noteAnnouncement(start + 21s);

    detector.noteAnnouncement(start + 29s);
    detector.noteLostRun(request(4), start + 30s);
    CHECK(detector.noteEnd() == broken({request(4)}));
    CHECK(detector.noteEnd().isEmpty());
}

TEST_CASE("a lost run counts when the server is replaced long after, if nothing has shown that it still ran")
{
    // Guards against a crash of a server that nobody calls until it is back.
    CrashDetector detector;
    detector.noteLostRun(request(1), start);
    detector.noteAnnouncement(start + 9s);
    CHECK(detector.noteEnd() == broken({request(1)}));
}

TEST_CASE("a run lost at a server that had been silent before is no sign that the run ended it")
{
    // Guards against a sound request that is refused since servers fell silent by themselves, and were killed under it.
    CrashDetector detector;
    detector.noteInstance(start);
    detector.noteLostRun(request(1), start + 2s);
    detector.noteLostRun(request(2), start + 6s);
    detector.noteLostTrial(request(3), start + 6s);
    CHECK(detector.noteEnd() == CrashedRuns{.broken = {request(1), request(3)}, .unanswered = {request(2)}});
}

TEST_CASE("runs that were given up count when the server then ends, unless a later run was answered")
{
    // Guards against a server that falls silent: its runs end at their deadlines, not as lost.
    CrashDetector detector;
    detector.noteAbandonedRun(request(1), start);
    detector.noteAnswer(start + 1ms, start + 1ms);
    detector.noteAbandonedRun(request(2), start + 2ms);
    detector.noteAnswer(start + 2ms, start + 3ms);
    CHECK(detector.noteEnd() == unanswered({request(2)}));

    detector.noteAbandonedRun(request(3), start + 1s);
    CHECK(detector.noteConnectFailure(start + 1s).isEmpty());
    detector.noteDeparture();
    CHECK(detector.noteEnd().isEmpty());
}

TEST_CASE("the number of unanswered runs that are kept is bounded")
{
    CrashDetector detector;
    constexpr std::uint64_t runs = 5000;
    for (std::uint64_t number = 0; number < runs; ++number) {
        detector.noteAbandonedRun(request(number), start);
    }
    CHECK(detector.size() < runs);
    CHECK(detector.noteEnd().unanswered.back() == request(runs - 1));
}

TEST_CASE("a crash with more running requests than a message holds is reported whole, as one crash")
{
    // Guards against a culprit among many runs that no report names.
    Identities running;
    constexpr std::uint64_t runs = 100;
    for (std::uint64_t number = 1; number <= runs; ++number) {
        running.push_back(request(number));
    }
    running.push_back({.content = 1, .caller = 2});
    admission::CrashSuspects suspects;
    applyCrash(suspects, "a", 1, running, start);

    CHECK(suspects.evidenceAgainst(request(runs), start).crashes == 1);
    CHECK(suspects.evidenceAgainst(request(1), start).crashes == 1);
}

TEST_CASE("reports of one crash that follow one another count as one crash")
{
    admission::CrashSuspects suspects;
    for (const std::size_t reported : {0, 1, 2}) {
        for (const CrashReport &report : CrashReport::forCrash({"a"}, {1}, 1, reported, broken({request(7)}))) {
            report.apply(suspects, start);
        }
    }
    CHECK(suspects.evidenceAgainst(request(7), start).crashes == 1);
}

TEST_CASE("the broken and the unanswered runs of one crash are reported as one crash")
{
    admission::CrashSuspects suspects;
    for (const CrashReport &report : CrashReport::forCrash({"a"}, {1}, 1, 0, {.broken = {request(7)}, .unanswered = {request(7), request(8)}})) {
        report.apply(suspects, start);
    }
    CHECK(suspects.evidenceAgainst(request(7), start).crashes == 1);
    CHECK(suspects.evidenceAgainst(request(7), start).broken == 1);
    CHECK(suspects.evidenceAgainst(request(8), start).crashes == 1);
    CHECK(suspects.evidenceAgainst(request(8), start).broken == 0);
    CHECK(suspects.crashesAt(request(8).content, {"a"}, start) == 1);
    CHECK(suspects.crashesAt(request(8).content, {"b"}, start) == 0);
}

TEST_CASE("crashes reported by several daemons add up to a quarantine, and a successful run ends it")
{
    admission::CrashSuspects suspects;
    for (const char *const daemon : {"a", "b"}) {
        applyCrash(suspects, daemon, 1, {request(7), request(8)}, start);
    }
    applyCrash(suspects, "b", 2, {request(7), request(8)}, start);
    CHECK(isQuarantined(suspects, 7, start));

    CrashReport::forSuccess({"a"}, {1}, 2, {request(8)}).apply(suspects, start);

    CHECK(isQuarantined(suspects, 7, start));
    CHECK_FALSE(isQuarantined(suspects, 8, start));
}

TEST_CASE("a harmless request is not quarantined if reports of its successful runs arrive before the crash reports")
{
    admission::CrashSuspects suspects;
    for (const std::uint64_t number : {1, 2, 3}) {
        CrashReport::forSuccess({"a"}, {1}, number, {request(8)}).apply(suspects, start);
    }
    for (const std::uint64_t number : {1, 2, 3}) {
        applyCrash(suspects, "b", number, {request(7), request(8)}, start + 1s);
    }

    CHECK(isQuarantined(suspects, 7, start + 1s));
    CHECK_FALSE(isQuarantined(suspects, 8, start + 1s));
}

TEST_CASE("an expired successful run does not clear a request that crashes servers now")
{
    admission::CrashSuspects suspects;
    CrashReport::forSuccess({"a"}, {1}, 1, {request(7)}).apply(suspects, start);
    for (const std::uint64_t number : {1, 2, 3}) {
        applyCrash(suspects, "b", number, {request(7)}, start + admission::CrashSuspects::successLifetime);
    }

    CHECK(isQuarantined(suspects, 7, start + admission::CrashSuspects::successLifetime));
}
