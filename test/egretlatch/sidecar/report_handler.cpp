#include <doctest/doctest.h>

#include <fakes/counting_metrics.hpp>

#include <egretlatch/sidecar/report_handler.hpp>

using namespace egretlatch;
using namespace egretlatch::sidecar;

namespace
{

[[nodiscard]] http::Request heartbeat(const std::string &instance, const int sequence)
{
    http::Request request;
    request.method = "POST";
    request.target = "/api/instances/" + instance + "/heartbeat";
    const std::string number = std::to_string(sequence);
    request.body =
        QByteArray::fromStdString(R"({"address":"10.0.0.1:80","info":{"service":"roster","version":"v1","zone":"z","slots":4},"status":{"state":"ready","seq":)"
                                  + number + R"(,"cold_remaining":"0ms"}})");
    return request;
}

struct Fixture
{
    fakes::CountingMetrics metrics;
    Logger logger{LogLevel::error, "test"};
    bool hasLeft{};
    ReportHandler handler{"roster", "10.0.0.1:80", logger, metrics, [this](const std::string & /*incarnation*/) {
                              return hasLeft;
                          }};
};

} // namespace

TEST_CASE("a first report starts and announces an incarnation, a second one with the same sequence number changes nothing")
{
    Fixture fixture;
    const HandledReport first = fixture.handler.handle(heartbeat("i-1", 1));
    CHECK(first.isNewIncarnation);
    REQUIRE(first.event.has_value());
    CHECK(std::holds_alternative<decision::ServerAnnounced>(*first.event));

    const HandledReport again = fixture.handler.handle(heartbeat("i-1", 1));
    CHECK_FALSE(again.isNewIncarnation);
    CHECK_FALSE(again.event.has_value());
    CHECK(again.answer.status == first.answer.status);
}

TEST_CASE("an incarnation that is known to have left is not announced, whichever incarnation of the daemon acknowledged that")
{
    Fixture fixture;
    fixture.hasLeft = true;
    const HandledReport handled = fixture.handler.handle(heartbeat("i-1", 1));
    REQUIRE(handled.event.has_value());
    CHECK(std::holds_alternative<decision::ServerDraining>(*handled.event));
}

TEST_CASE("an invalid report is answered with an error and changes nothing")
{
    Fixture fixture;
    http::Request request = heartbeat("i-1", 1);
    request.body = "{";
    const HandledReport handled = fixture.handler.handle(request);
    CHECK(handled.answer.status == 400);
    CHECK_FALSE(handled.event.has_value());
}
