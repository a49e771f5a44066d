#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include <egretlatch/settings/daemon_settings.hpp>

using namespace egretlatch::settings;

namespace
{

[[nodiscard]] bool hasProblemAt(const Problems &problems, const std::string &pointer)
{
    return std::any_of(problems.begin(), problems.end(), [&pointer](const Problem &problem) {
        return problem.pointer == pointer;
    });
}

} // namespace

TEST_CASE("settings with all that is needed are read")
{
    const auto settings = parseDaemonSettings(R"({
        "id": "launch-log-0", "dataCentre": "dc1", "callerPort": 8000, "peerPort": 8001, "backendUrl": "http://127.0.0.1:9000",
        "peers": [{"id": "launch-log-1", "endpoint": "tcp://127.0.0.1:8101"}],
        "peerKeys": {
            "publicKey": "0123456789012345678901234567890123456789", "secretKey": "abcdefghijabcdefghijabcdefghijabcdefghij",
            "accepted": ["0123456789012345678901234567890123456789"]
        }
    })");

    REQUIRE(settings.has_value());
    CHECK(settings->id.value == "launch-log-0");
    CHECK(settings->policy == Policy::adaptive);
    CHECK(settings->peers.size() == 1);
    REQUIRE(settings->peerKeys.has_value());
    CHECK(settings->peerKeys->accepted.size() == 1);
}

TEST_CASE("encryption between daemons is off only where the settings say so")
{
    const QByteArray start = R"({"id": "a", "dataCentre": "dc1", "callerPort": 1, "peerPort": 2, "backendUrl": "http://127.0.0.1:9000")";

    const auto silent = parseDaemonSettings(start + "}");
    const auto off = parseDaemonSettings(start + R"(, "peerEncryption": "off"})");

    REQUIRE_FALSE(silent.has_value());
    CHECK(hasProblemAt(silent.error(), "/peerKeys"));
    REQUIRE(off.has_value());
    CHECK_FALSE(off->peerKeys.has_value());
}

TEST_CASE("a key of the wrong form is a problem, and is not shown")
{
    // A secret key that was copied with a letter too many must not end up in a terminal's history or a log.
    const auto settings = parseDaemonSettings(R"({
        "id": "a", "dataCentre": "dc1", "callerPort": 1, "peerPort": 2, "backendUrl": "http://127.0.0.1:9000",
        "peerKeys": {"publicKey": "short", "secretKey": "abcdefghijabcdefghijabcdefghijabcdefghijX", "accepted": []}
    })");

    REQUIRE_FALSE(settings.has_value());
    for (const char *const pointer : {"/peerKeys/publicKey", "/peerKeys/secretKey", "/peerKeys/accepted"}) {
        CAPTURE(pointer);
        CHECK(hasProblemAt(settings.error(), pointer));
    }
    for (const Problem &problem : settings.error()) {
        CHECK(problem.found.find("abcdefghij") == std::string::npos);
    }
}

TEST_CASE("all problems are found at once, each with its place")
{
    const auto settings = parseDaemonSettings(R"({
        "id": 5, "callerPort": 70000, "peerPort": 8001, "backendUrl": "localhost", "policy": "fast", "colour": "red",
        "peers": [{"id": "a", "endpoint": "udp://x"}, 7], "listenAddress": "not an address"
    })");

    REQUIRE_FALSE(settings.has_value());
    for (const char *const pointer :
         {"/id", "/dataCentre", "/callerPort", "/backendUrl", "/policy", "/colour", "/peers/0/endpoint", "/peers/1", "/listenAddress"}) {
        CAPTURE(pointer);
        CHECK(hasProblemAt(settings.error(), pointer));
    }
}

TEST_CASE("text that is not JSON names the byte")
{
    const auto settings = parseDaemonSettings(R"({"id": )");

    REQUIRE_FALSE(settings.has_value());
    CHECK(settings.error().front().found.find("byte 7") != std::string::npos);
}

TEST_CASE("any text gives settings or problems")
{
    CHECK(rc::check([](const std::string &text) {
        const auto settings = parseDaemonSettings(QByteArray::fromStdString(text));
        const bool hasResultOrError = settings.has_value() || hasError(settings.error());
        RC_ASSERT(hasResultOrError);
    }));
}
