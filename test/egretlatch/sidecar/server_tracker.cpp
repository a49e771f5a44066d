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

[[nodiscard]] platform::ServerReport deregistration(const std::string &instance)
{
    platform::ServerReport report;
    report.instance = instance;
    report.state = platform::ServerReportState::left;
    return report;
}

} // namespace

TEST_CASE("a server that leaves does not come back within the same life, also by an older heartbeat")
{
    // Requests reach a server after it was acknowledged that it leaves. A heartbeat that a partition held up comes after
    // the one that said so, and speaks of a server that is ready.
    ServerTracker tracker{"roster", "10.0.0.1:80"};
    CHECK((tracker.update(report("i-1", 100, 1)) == ReportEffect::serving));
    CHECK((tracker.update(leaving(report("i-1", 100, 3))) == ReportEffect::leaving));
    CHECK((tracker.update(report("i-1", 100, 2)) == ReportEffect::late));
    CHECK((tracker.update(report("i-1", 100, 4)) == ReportEffect::leaving));
}

TEST_CASE("a server that starts again under the same id is a new life")
{
    ServerTracker tracker{"roster", "10.0.0.1:80"};
    CHECK((tracker.update(leaving(report("i-1", 100, 9))) == ReportEffect::leaving));
    CHECK((tracker.update(report("i-1", 200, 1)) == ReportEffect::serving));
    // What the ended life still had under way changes nothing.
    CHECK((tracker.update(leaving(report("i-1", 100, 10))) == ReportEffect::late));
    CHECK((tracker.update(report("i-1", 200, 2)) == ReportEffect::serving));
}

TEST_CASE("a heartbeat of the life before is passed over, with or without its time of start")
{
    ServerTracker tracker{"roster", "10.0.0.1:80"};
    CHECK((tracker.update(report("i-1", 0, 5)) == ReportEffect::serving));
    CHECK((tracker.update(report("i-2", 0, 1)) == ReportEffect::serving));
    CHECK((tracker.update(report("i-1", 0, 6)) == ReportEffect::late));
    CHECK(tracker.instance() == "i-2");
}

TEST_CASE("reports of other services or addresses, and farewells of other lives, change nothing")
{
    ServerTracker tracker{"roster", "10.0.0.1:80"};
    platform::ServerReport other = report("i-1", 100, 1);
    other.service = "archive";
    CHECK((tracker.update(other) == ReportEffect::ofAnotherServer));
    other = report("i-1", 100, 1);
    other.address = "10.0.0.2:80";
    CHECK((tracker.update(other) == ReportEffect::ofAnotherServer));
    CHECK((tracker.update(report("i-1", 100, 1)) == ReportEffect::serving));
    CHECK((tracker.update(deregistration("i-0")) == ReportEffect::leavingElsewhere));
    CHECK((tracker.update(deregistration("i-1")) == ReportEffect::leaving));
}

TEST_CASE("a farewell that comes before all else names the life that it ends")
{
    ServerTracker tracker{"roster", "10.0.0.1:80"};
    const platform::ServerReport ended = deregistration("i-1");
    CHECK((tracker.update(ended) == ReportEffect::leavingElsewhere));
    CHECK((tracker.update(report("i-1", 0, 9)) == ReportEffect::serving));
    CHECK(tracker.incarnationName() == tracker.incarnationNameOf(ended));
}

TEST_CASE("a late heartbeat of a server that is gone does not keep the present one away for good")
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
