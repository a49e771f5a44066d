#include <doctest/doctest.h>

#include <egretlatch/sidecar/server_tracker.hpp>

using namespace egretlatch;
using namespace egretlatch::sidecar;

namespace
{

[[nodiscard]] platform::ServerReport report(const std::string &instance, const std::int64_t startedAtMs, const std::int64_t sequence)
{
    platform::ServerReport report;
    report.instance = instance;
    report.service = "roster";
    report.address = "10.0.0.1:80";
    report.slots = 4;
    report.startedAtMs = startedAtMs;
    report.sequence = sequence;
    return report;
}

[[nodiscard]] platform::ServerReport leaving(platform::ServerReport given)
{
    given.state = platform::ServerReportState::draining;
    return given;
}

[[nodiscard]] platform::ServerReport deregistration(const std::string &instance, const std::int64_t startedAtMs = 0)
{
    platform::ServerReport report;
    report.instance = instance;
    report.startedAtMs = startedAtMs;
    report.state = platform::ServerReportState::left;
    return report;
}

} // namespace

TEST_CASE("a leaving server does not return within the same incarnation, even by a late heartbeat")
{
    // Guards against requests that reach a server after its leaving was acknowledged: a heartbeat that a partition delayed
    // arrives after the draining one and still reports a ready server.
    ServerTracker tracker{"roster", "10.0.0.1:80"};
    CHECK((tracker.update(report("i-1", 100, 1)) == ReportEffect::serving));
    CHECK((tracker.update(leaving(report("i-1", 100, 3))) == ReportEffect::leaving));
    CHECK((tracker.update(report("i-1", 100, 2)) == ReportEffect::late));
    CHECK((tracker.update(report("i-1", 100, 4)) == ReportEffect::leaving));
}

TEST_CASE("a server that restarts under the same id is a new incarnation")
{
    ServerTracker tracker{"roster", "10.0.0.1:80"};
    CHECK((tracker.update(leaving(report("i-1", 100, 9))) == ReportEffect::leaving));
    CHECK((tracker.update(report("i-1", 200, 1)) == ReportEffect::serving));
    // A delayed report of the ended incarnation changes nothing.
    CHECK((tracker.update(leaving(report("i-1", 100, 10))) == ReportEffect::late));
    CHECK((tracker.update(report("i-1", 200, 2)) == ReportEffect::serving));
}

TEST_CASE("a heartbeat of the previous incarnation is ignored, with or without its start time")
{
    ServerTracker tracker{"roster", "10.0.0.1:80"};
    CHECK((tracker.update(report("i-1", 0, 5)) == ReportEffect::serving));
    CHECK((tracker.update(report("i-2", 0, 1)) == ReportEffect::serving));
    CHECK((tracker.update(report("i-1", 0, 6)) == ReportEffect::late));
    CHECK(tracker.instance() == "i-2");
}

TEST_CASE("reports of other services or addresses, and deregistrations of other incarnations, change nothing")
{
    ServerTracker tracker{"roster", "10.0.0.1:80"};
    platform::ServerReport other = report("i-1", 100, 1);
    other.service = "archive";
    CHECK((tracker.update(other) == ReportEffect::ofAnotherServer));
    other = report("i-1", 100, 1);
    other.address = "10.0.0.2:80";
    CHECK((tracker.update(other) == ReportEffect::ofAnotherServer));
    CHECK((tracker.update(report("i-1", 100, 1)) == ReportEffect::serving));
    CHECK((tracker.update(deregistration("i-0", 90)) == ReportEffect::leavingElsewhere));
    CHECK((tracker.update(deregistration("i-1", 90)) == ReportEffect::leavingElsewhere));
    CHECK((tracker.update(report("i-1", 100, 2)) == ReportEffect::serving));
    CHECK((tracker.update(deregistration("i-1", 100)) == ReportEffect::leaving));
}

TEST_CASE("a deregistration that arrives before any other report names the incarnation that it ends")
{
    ServerTracker tracker{"roster", "10.0.0.1:80"};
    const platform::ServerReport ended = deregistration("i-1");
    CHECK((tracker.update(ended) == ReportEffect::leavingElsewhere));
    CHECK((tracker.update(report("i-1", 0, 9)) == ReportEffect::serving));
    CHECK(tracker.incarnationName() == tracker.incarnationNameOf(ended));
}

TEST_CASE("a late heartbeat of a terminated server does not shut out the current one permanently")
{
    ServerTracker tracker{"roster", "10.0.0.1:80"};
    CHECK((tracker.update(report("i-2", 0, 1)) == ReportEffect::serving));
    static_cast<void>(tracker.update(report("i-1", 0, 7)));
    static_cast<void>(tracker.update(report("i-2", 0, 2)));
    CHECK((tracker.update(report("i-2", 0, 3)) == ReportEffect::serving));
    CHECK(tracker.instance() == "i-2");
    CHECK((tracker.update(report("i-1", 0, 8)) == ReportEffect::late));
    CHECK((tracker.update(report("i-2", 0, 4)) == ReportEffect::serving));
}

TEST_CASE("a report without a start time changes nothing once the server has reported its start")
{
    // Guards against another writer's report that brings a leaving server back, or takes a sound one out of service.
    ServerTracker tracker{"roster", "10.0.0.1:80"};
    CHECK((tracker.update(report("i-1", 100, 1)) == ReportEffect::serving));
    CHECK((tracker.update(report("i-1", 0, 2)) == ReportEffect::ofAnotherWriter));
    CHECK((tracker.update(leaving(report("i-1", 0, 3))) == ReportEffect::ofAnotherWriter));
    CHECK((tracker.update(report("i-2", 0, 4)) == ReportEffect::ofAnotherWriter));
    CHECK((tracker.update(deregistration("i-1")) == ReportEffect::ofAnotherWriter));
    CHECK((tracker.update(report("i-1", 100, 2)) == ReportEffect::serving));
    CHECK((tracker.update(leaving(report("i-1", 100, 3))) == ReportEffect::leaving));
    CHECK((tracker.update(report("i-1", 0, 4)) == ReportEffect::ofAnotherWriter));
    CHECK((tracker.update(report("i-1", 100, 5)) == ReportEffect::leaving));
}

TEST_CASE("a server's own report takes the place of another writer's that came first")
{
    ServerTracker tracker{"roster", "10.0.0.1:80"};
    CHECK((tracker.update(report("i-1", 0, 9)) == ReportEffect::serving));
    CHECK((tracker.update(report("i-1", 100, 1)) == ReportEffect::serving));
    CHECK((tracker.update(report("i-1", 0, 10)) == ReportEffect::ofAnotherWriter));
    CHECK((tracker.update(report("i-1", 100, 2)) == ReportEffect::serving));
}
