#include <doctest/doctest.h>

#include <vector>

#include <fakes/manual_clock.hpp>

#include <egretlatch/core/log_sink.hpp>
#include <egretlatch/sidecar/level_log.hpp>

using namespace std::chrono_literals;
using namespace egretlatch;

namespace
{

class Lines : public LogSink
{
public:
    void write(std::string_view /*event*/, const std::string &line) override
    {
        lines.push_back(line);
    }

    std::vector<std::string> lines;
};

} // namespace

TEST_CASE("a level change is logged with the figures that determine it, at most once a second")
{
    fakes::ManualClock clock;
    Lines sink;
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
