#include <doctest/doctest.h>

#include <fakes/manual_clock.hpp>
#include <fakes/recorded_lines.hpp>

#include <egretlatch/sidecar/level_log.hpp>

using namespace std::chrono_literals;
using namespace egretlatch;

TEST_CASE("a level change is logged with the figures that determine it, at most once a second")
{
    fakes::ManualClock clock;
    fakes::RecordedLines sink;
    const Logger logger{LogLevel::info, "self", sink};
    sidecar::LevelLog log{logger};
    const auto logIfDue = [&](const admission::Level &level) {
        if (log.isDue(level, clock.steadyNow())) {
            log.write({.inFlight = 4, .limit = 4, .queued = 9, .level = level}, {{.name = "shed", .value = 0.5}}, clock.steadyNow());
        }
    };
    logIfDue({});
    CHECK(sink.lines.empty());
    logIfDue({.priority = 7, .density = 19, .fraction = 0.5});
    logIfDue({.priority = 8, .density = 19, .fraction = 0.5});
    REQUIRE(sink.lines.size() == 1);
    CHECK(sink.lines.front().find("shed=0.5") != std::string::npos);
    clock.advance(1s);
    logIfDue({.priority = 7, .density = 19, .fraction = 0.55});
    CHECK(sink.lines.size() == 1);
    logIfDue({.priority = 7, .density = 19, .fraction = 0.65});
    CHECK(sink.lines.size() == 2);
}
