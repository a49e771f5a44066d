#include <doctest/doctest.h>

#include <egretlatch/admission/crash_suspects.hpp>

using namespace egretlatch;
using namespace egretlatch::admission;
using namespace std::chrono_literals;

namespace
{

constexpr SteadyTime start{std::chrono::hours{1}};
constexpr std::uint64_t history = 101;
constexpr std::uint64_t log = 102;
constexpr std::uint64_t roster = 103;
constexpr RequestIdentity culprit{.content = 1, .caller = history};
constexpr RequestIdentity bystander{.content = 2, .caller = history};

RequestIdentity culpritOf(const std::uint64_t caller)
{
    return {.content = culprit.content, .caller = caller};
}

void crash(CrashSuspects &suspects, const std::string &name, const std::vector<RequestIdentity> &running)
{
    suspects.noteCrash("crash/" + name, running, start);
}

bool isQuarantined(const CrashSuspects &suspects, const RequestIdentity &request, const SteadyTime now = start)
{
    return suspects.suspicionOf(request, now) == Suspicion::quarantined;
}

} // namespace

TEST_CASE("a request that was running at three crashes is refused until the crashes expire")
{
    // A request that crashes each server that runs it is resent through any daemon, so each crash counts wherever it was
    // observed, but only once.
    CrashSuspects suspects;
    crash(suspects, "a", {culprit});
    crash(suspects, "a", {culprit});
    crash(suspects, "b", {culprit});
    CHECK(suspects.evidenceAgainst(culprit, start).crashes == 2);
    CHECK(suspects.suspicionOf(culprit, start) == Suspicion::suspect);

    crash(suspects, "c", {culprit});

    CHECK(isQuarantined(suspects, culprit));
    CHECK_FALSE(isQuarantined(suspects, culprit, start + CrashSuspects::crashLifetime));
    suspects.expire(start + CrashSuspects::crashLifetime);
    CHECK(suspects.isEmpty());
}

TEST_CASE("a request that ran along with the culprit is not refused once it has succeeded")
{
    CrashSuspects suspects;
    crash(suspects, "a", {culprit, bystander});
    crash(suspects, "b", {culprit, bystander});
    CHECK(suspects.noteSuccess(bystander, start));
    crash(suspects, "c", {culprit, bystander});

    CHECK(isQuarantined(suspects, culprit));
    CHECK_FALSE(isQuarantined(suspects, bystander));
    CHECK_FALSE(suspects.noteSuccess({.content = 3, .caller = history}, start));
}

TEST_CASE("crashes by equal requests from several services add up")
{
    // Guards against a bound for each calling service: the request then crashes that many times as many servers.
    CrashSuspects suspects;
    crash(suspects, "a", {culpritOf(history)});
    crash(suspects, "b", {culpritOf(log)});
    CHECK_FALSE(isQuarantined(suspects, culpritOf(roster)));
    crash(suspects, "c", {culpritOf(roster)});

    CHECK(isQuarantined(suspects, culpritOf(history)));
    CHECK(isQuarantined(suspects, culpritOf(log)));
    CHECK(isQuarantined(suspects, culpritOf(104)));
}

TEST_CASE("crashes by requests of one service do not refuse equal bytes of another until these crash a server, too")
{
    CrashSuspects suspects;
    for (const char *const name : {"a", "b", "c", "d"}) {
        crash(suspects, name, {culpritOf(history)});
    }
    CHECK(isQuarantined(suspects, culpritOf(history)));
    CHECK(suspects.suspicionOf(culpritOf(log), start) == Suspicion::onTrial);

    SUBCASE("they run well")
    {
        CHECK(suspects.noteSuccess(culpritOf(log), start));
        CHECK_FALSE(suspects.noteSuccess(culpritOf(log), start));
        CHECK(suspects.suspicionOf(culpritOf(log), start) == Suspicion::none);
        CHECK(isQuarantined(suspects, culpritOf(history)));
    }
    SUBCASE("they crash a server")
    {
        crash(suspects, "e", {culpritOf(log)});
        CHECK(isQuarantined(suspects, culpritOf(log)));
        CHECK(isQuarantined(suspects, culpritOf(roster)));
    }
}

TEST_CASE("equal bytes of another service that only ran beside the culprit are not refused")
{
    // Guards against a sound request that is refused because it was running at one of the culprit's crashes.
    CrashSuspects suspects;
    crash(suspects, "a", {culpritOf(history), culpritOf(log)});
    crash(suspects, "b", {culpritOf(history)});
    crash(suspects, "c", {culpritOf(history)});

    CHECK(isQuarantined(suspects, culpritOf(history)));
    CHECK(suspects.suspicionOf(culpritOf(log), start) == Suspicion::onTrial);
}

TEST_CASE("a crash under a quarantined request does not count against the requests beside it")
{
    CrashSuspects suspects;
    for (const char *const name : {"a", "b", "c"}) {
        crash(suspects, name, {culprit});
    }
    for (const char *const name : {"d", "e", "f"}) {
        crash(suspects, name, {culprit, bystander});
    }

    CHECK(suspects.evidenceAgainst(bystander, start).crashes == 0);
    CHECK(suspects.evidenceAgainst(culprit, start).crashes == 6);
}

TEST_CASE("crashes that only left a request unanswered put it on trial, and one good run ends that")
{
    // Guards against a sound request that is refused for minutes since all servers of its service fell silent at once.
    CrashSuspects suspects;
    for (const std::string server : {"a", "b", "c", "d"}) {
        suspects.noteUnanswered(server + "/1", {bystander}, start);
    }
    CHECK(suspects.suspicionOf(bystander, start) == Suspicion::onTrial);
    CHECK(suspects.noteSuccess(bystander, start));
    CHECK(suspects.suspicionOf(bystander, start) == Suspicion::none);
}

TEST_CASE("a request that leaves two trials unanswered is refused")
{
    // Guards against a request that silences each server that runs it.
    CrashSuspects suspects;
    for (const std::string server : {"a", "b", "c"}) {
        suspects.noteUnanswered(server + "/1", {culprit}, start);
    }
    crash(suspects, "d", {culprit});
    CHECK(suspects.suspicionOf(culprit, start) == Suspicion::onTrial);
    crash(suspects, "e", {culprit});
    CHECK(isQuarantined(suspects, culprit));
}

TEST_CASE("when there are too many suspects, those with the fewest crashes are forgotten first")
{
    CrashSuspects suspects;
    crash(suspects, "a", {culprit});
    crash(suspects, "b", {culprit});
    for (std::uint64_t number = 0; suspects.evicted() == 0; ++number) {
        crash(suspects, "c", {{.content = 1000 + number, .caller = history}});
    }
    crash(suspects, "d", {culprit});

    CHECK(isQuarantined(suspects, culprit));
}
