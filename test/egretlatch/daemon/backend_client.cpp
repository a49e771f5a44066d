#include <doctest/doctest.h>

#include <optional>

#include <fmt/format.h>

#include <fakes/event_loop.hpp>
#include <fakes/raw_server.hpp>

#include <egretlatch/daemon/backend_client.hpp>

using namespace egretlatch;
using namespace std::chrono_literals;

namespace
{

struct Fixture
{
    Fixture()
    {
        fakes::ensureApplication();
        client.emplace(fmt::format("http://localhost:{}/base", server.endpoint().port), clock, [this](decision::RunEnded given) {
            ended = std::move(given);
        });
    }

    void start(const std::string &method)
    {
        decision::StartRun run;
        run.execution = {1};
        run.request.method = method;
        run.request.path = "/entry/";
        run.request.kind = "entry";
        run.request.remaining = 10s;
        client->start(run);
        REQUIRE(fakes::runUntil([this] {
            return server.hasCaller();
        }));
        server.accept();
        REQUIRE(fakes::runUntil([this] {
            received += server.receive(MSG_DONTWAIT);
            return received.find("\r\n\r\n") != std::string::npos;
        }));
    }

    [[nodiscard]] bool waitForEnd()
    {
        return fakes::runUntil([this] {
            return ended.has_value();
        });
    }

    /*! @brief Lets the client read all that has arrived. */
    static void settle()
    {
        int turns = 0;
        REQUIRE(fakes::runUntil([&turns] {
            return ++turns > 5;
        }));
    }

    SystemClock clock;
    fakes::RawServer server;
    std::optional<daemon::BackendClient> client;
    std::string received;
    std::optional<decision::RunEnded> ended;
};

} // namespace

TEST_CASE("a reset in the middle of an answer without a length is a lost run")
{
    // Guards against a part of an answer that passes for the whole one.
    Fixture fixture;
    fixture.start("POST");
    fixture.server.send("HTTP/1.1 200 OK\r\n\r\nhalf");
    Fixture::settle();
    fixture.server.reset();
    REQUIRE(fixture.waitForEnd());
    REQUIRE(std::holds_alternative<decision::RunFailure>(fixture.ended->result));
    CHECK((std::get<decision::RunFailure>(fixture.ended->result) == decision::RunFailure::lost));
}

TEST_CASE("an answer without a length is whole at the orderly end of its connection")
{
    Fixture fixture;
    fixture.start("POST");
    CHECK(fixture.received.starts_with("POST /base/entry/ HTTP/1.1\r\n"));
    fixture.server.send("HTTP/1.1 200 OK\r\nX-Kept: 1\r\nKeep-Alive: timeout=5\r\n\r\nwhole");
    fixture.server.finish();
    REQUIRE(fixture.waitForEnd());
    REQUIRE(std::holds_alternative<decision::RunAnswer>(fixture.ended->result));
    const auto &answer = std::get<decision::RunAnswer>(fixture.ended->result);
    CHECK(answer.status == 200);
    CHECK(answer.body == "whole");
    CHECK((answer.headers == Headers{{.name = "X-Kept", .value = "1"}}));
}

TEST_CASE("the answer to a HEAD request ends with its header")
{
    // Guards against a wait for the body that the length of such an answer announces.
    Fixture fixture;
    fixture.start("HEAD");
    fixture.server.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    REQUIRE(fixture.waitForEnd());
    REQUIRE(std::holds_alternative<decision::RunAnswer>(fixture.ended->result));
    CHECK(std::get<decision::RunAnswer>(fixture.ended->result).body.isEmpty());
}
