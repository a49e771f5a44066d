#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <egretlatch/admission/crash_suspects.hpp>

using namespace egretlatch;
using namespace egretlatch::admission;
using namespace std::chrono_literals;

namespace
{

constexpr SteadyTime start{std::chrono::hours{1}};
constexpr RequestFingerprint culprit = 1;
constexpr RequestFingerprint bystander = 2;

} // namespace

TEST_CASE("a request that was there at three crashes is refused, and let in again long after the last")
{
    // One request crashes each server that runs it. It comes again at any daemon, so each crash counts wherever it was seen,
    // and once.
    CrashSuspects suspects;
    suspects.noteCrash("crash/a", {culprit}, start);
    suspects.noteCrash("crash/a", {culprit}, start);
    suspects.noteCrash("crash/b", {culprit}, start);
    CHECK(suspects.crashes(culprit, start) == 2);
    CHECK_FALSE(suspects.isQuarantined(culprit, start));

    suspects.noteCrash("crash/c", {culprit}, start);

    CHECK(suspects.isQuarantined(culprit, start));
    CHECK_FALSE(suspects.isQuarantined(culprit, start + CrashSuspects::crashLifetime));
}

TEST_CASE("what ran beside the culprit is not refused once it has run well")
{
    CrashSuspects suspects;
    suspects.noteCrash("crash/a", {culprit, bystander}, start);
    suspects.noteCrash("crash/b", {culprit, bystander}, start);
    CHECK(suspects.noteSuccess(bystander));
    suspects.noteCrash("crash/c", {culprit, bystander}, start);

    CHECK(suspects.isQuarantined(culprit, start));
    CHECK_FALSE(suspects.isQuarantined(bystander, start));
    CHECK_FALSE(suspects.noteSuccess(3));
}

TEST_CASE("requests that differ in method, path, body or calling service have fingerprints of their own")
{
    const RequestFingerprint one = fingerprintOf("GET", "/a/1", "history", "body");
    CHECK(one == fingerprintOf("GET", "/a/1", "history", "body"));
    CHECK(one != fingerprintOf("POST", "/a/1", "history", "body"));
    CHECK(one != fingerprintOf("GET", "/a/2", "history", "body"));
    CHECK(one != fingerprintOf("GET", "/a/1", "log", "body"));
    CHECK(one != fingerprintOf("GET", "/a/1", "history", "other"));
}

TEST_CASE("fingerprints come back from bytes as they were, and other bytes do no harm")
{
    rc::check([](const std::vector<RequestFingerprint> &requests) {
        const std::vector<RequestFingerprint> read = fingerprintsFrom(toBytes(requests));
        RC_ASSERT(read.size() <= 64U);
        RC_ASSERT(std::equal(read.begin(), read.end(), requests.begin()));
    });
    rc::check([](const std::string &bytes) {
        RC_ASSERT(fingerprintsFrom(bytes).size() == bytes.size() / 8);
    });
}
