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

TEST_CASE("complete settings are parsed")
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

TEST_CASE("encryption between daemons is off only if the settings turn it off explicitly")
{
    const QByteArray start = R"({"id": "a", "dataCentre": "dc1", "callerPort": 1, "peerPort": 2, "backendUrl": "http://127.0.0.1:9000")";

    const auto silent = parseDaemonSettings(start + "}");
    const auto off = parseDaemonSettings(start + R"(, "peerEncryption": "off"})");

    REQUIRE_FALSE(silent.has_value());
    CHECK(hasProblemAt(silent.error(), "/peerKeys"));
    REQUIRE(off.has_value());
    CHECK_FALSE(off->peerKeys.has_value());
}

TEST_CASE("a malformed key is reported without its text")
{
    // Guards against a secret key in a terminal's history or a log, after it was copied with one character too many.
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

TEST_CASE("all problems are reported at once, each with its JSON pointer")
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

TEST_CASE("text that is not JSON is reported with the byte offset of the error")
{
    const auto settings = parseDaemonSettings(R"({"id": )");

    REQUIRE_FALSE(settings.has_value());
    CHECK(settings.error().front().found.find("byte 7") != std::string::npos);
}

TEST_CASE("any text results in settings or an error")
{
    CHECK(rc::check([](const std::string &text) {
        const auto settings = parseDaemonSettings(QByteArray::fromStdString(text));
        const bool hasResultOrError = settings.has_value() || hasError(settings.error());
        RC_ASSERT(hasResultOrError);
    }));
}
