#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include <rapidcheck.h>

#include <egretlatch/manifest/manifest.hpp>

using namespace egretlatch;
using namespace egretlatch::manifest;

namespace
{

[[nodiscard]] const settings::Problem *find(const settings::Problems &problems, const std::string &pointer)
{
    const auto found = std::find_if(problems.begin(), problems.end(), [&pointer](const settings::Problem &problem) {
        return problem.pointer == pointer;
    });
    return found == problems.end() ? nullptr : &*found;
}

} // namespace

TEST_CASE("services and kinds of a manifest are found by name")
{
    const auto parsed = parseManifest(R"({"services": [{"name": "roster", "slots": 10, "connections": 160, "kinds": [
        {"name": "read", "priority": 9, "worth": 8, "idempotent": true, "deadlineMs": 500, "costMs": 8}]}]})");

    REQUIRE(parsed.has_value());
    CHECK(parsed->warnings.empty());
    CHECK(parsed->manifest->findKind("roster", "read")->priority == 9);
    CHECK(parsed->manifest->findKind("roster", "write") == nullptr);
    CHECK(parsed->manifest->findService("launch") == nullptr);
}

TEST_CASE("the hash of a manifest depends on its text alone")
{
    const QByteArray text = R"({"services": []})";
    CHECK(parseManifest(text)->manifest->hash() == parseManifest(text)->manifest->hash());
    CHECK(parseManifest(text)->manifest->hash() != parseManifest(text + " ")->manifest->hash());
}

TEST_CASE("all errors of a manifest are reported at once")
{
    const auto parsed = parseManifest(R"({"services": [
        {"name": "a", "slots": 0, "connections": 1, "kinds": [{"name": "k", "priority": 12, "worth": -1, "idempotent": "yes"}]},
        {"name": "a", "slots": 9, "connections": 3, "kinds": [
            {"name": "x", "priority": 1, "worth": 1, "idempotent": true, "calls": [{"service": "b", "kind": "none"}]},
            {"name": "x", "priority": 1, "worth": 1, "idempotent": true}]}]})");

    REQUIRE_FALSE(parsed.has_value());
    for (const char *const pointer : {"/services/0/slots",
                                      "/services/0/kinds/0/priority",
                                      "/services/0/kinds/0/worth",
                                      "/services/0/kinds/0/idempotent",
                                      "/services/1/name",
                                      "/services/1/connections",
                                      "/services/1/kinds/1/name"}) {
        CAPTURE(pointer);
        CHECK(find(parsed.error(), pointer) != nullptr);
    }
}

TEST_CASE("a cycle and a deadline shorter than that of a called kind give warnings")
{
    const auto parsed = parseManifest(R"({"services": [{"name": "a", "slots": 1, "connections": 1, "kinds": [
        {"name": "k", "priority": 1, "worth": 1, "idempotent": true, "deadlineMs": 100, "calls": [{"service": "a", "kind": "l"}]},
        {"name": "l", "priority": 1, "worth": 1, "idempotent": true, "deadlineMs": 200, "calls": [{"service": "a", "kind": "k"}]}]}]})");

    REQUIRE(parsed.has_value());
    CHECK(find(parsed->warnings, "/services/0/kinds/0/deadlineMs") != nullptr);
    CHECK(find(parsed->warnings, "/services/0/kinds/0/calls") != nullptr);
    CHECK(find(parsed->warnings, "/services/0/kinds/1/calls") != nullptr);
}

TEST_CASE("any text results in a manifest or an error")
{
    CHECK(rc::check([](const std::string &text) {
        const auto parsed = parseManifest(QByteArray::fromStdString(text));
        const bool hasResultOrError = parsed.has_value() || settings::hasError(parsed.error());
        RC_ASSERT(hasResultOrError);
    }));
}

TEST_CASE("accounts without a name, with a negative rate, a key in plain text or a key of another account are reported with their place")
{
    const std::string digest(64, 'a');
    const QByteArray document = QByteArray::fromStdString(R"({"services":[],"accounts":[
        {"name":"","ratePerSecond":-1},
        {"name":"club","keyDigests":["plain-key",")" + digest
                                                          + R"("]},
        {"name":"club","keyDigests":[")" + digest + R"("]}]})");
    const auto parsed = manifest::parseManifest(document);
    REQUIRE_FALSE(parsed.has_value());
    std::set<std::string> places;
    for (const settings::Problem &problem : parsed.error()) {
        places.insert(problem.pointer);
        CHECK(problem.found.find("plain-key") == std::string::npos);
    }
    CHECK(
        places
        == std::set<std::string>{"/accounts/0/name", "/accounts/0/ratePerSecond", "/accounts/1/keyDigests/0", "/accounts/2/keyDigests/0", "/accounts/2/name"});
}
