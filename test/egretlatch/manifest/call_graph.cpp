#include <doctest/doctest.h>

#include <algorithm>

#include <egretlatch/manifest/manifest.hpp>

using namespace egretlatch;

namespace
{

[[nodiscard]] bool hasWarning(const QByteArray &json, const std::string &pointer)
{
    const auto parsed = manifest::parseManifest(json);
    REQUIRE(parsed.has_value());
    return std::any_of(parsed->warnings.begin(), parsed->warnings.end(), [&pointer](const settings::Problem &problem) {
        return problem.pointer == pointer;
    });
}

[[nodiscard]] QByteArray makeManifest(const int rootDeadline, const int queueTarget)
{
    const QByteArray root = R"({"name":"root","priority":1,"worth":1,"idempotent":true,"costMs":10,"deadlineMs":)" + QByteArray::number(rootDeadline)
        + R"(,"calls":[{"service":"one","kind":"leaf","count":4}]})";
    const QByteArray leaf = R"({"name":"leaf","priority":1,"worth":0,"idempotent":true,"costMs":20,"deadlineMs":25})";
    return R"({"services":[{"name":"one","slots":1,"connections":1,"queueTargetMs":)" + QByteArray::number(queueTarget) + R"(,"kinds":[)" + root + "," + leaf
        + "]}]}";
}

} // namespace

TEST_CASE("a deadline below the cost of the call tree gives a warning")
{
    CHECK(hasWarning(makeManifest(89, 5), "/services/0/kinds/0/deadlineMs"));
    CHECK_FALSE(hasWarning(makeManifest(90, 5), "/services/0/kinds/0/deadlineMs"));
}

TEST_CASE("a queue target that is not below the deadline of each kind gives a warning")
{
    CHECK(hasWarning(makeManifest(100, 25), "/services/0/queueTargetMs"));
    CHECK_FALSE(hasWarning(makeManifest(100, 24), "/services/0/queueTargetMs"));
}
