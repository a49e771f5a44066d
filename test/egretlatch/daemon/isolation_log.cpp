#include <doctest/doctest.h>

#include <fakes/recorded_lines.hpp>

#include <egretlatch/daemon/isolation_log.hpp>

using namespace std::chrono_literals;
using namespace egretlatch;

TEST_CASE("the begin of an isolation is a warning with its figures, and the end is at the level info")
{
    // Guards against a line that is dropped at the level of warnings, or that does not tell how many daemons are not heard.
    fakes::RecordedLines sink;
    const decision::IsolationChanged began{.change = {.isIsolated = true, .silence = 10050ms}, .expected = 7, .present = 3};
    const decision::IsolationChanged ended{.change = {.isIsolated = false, .silence = 61s}, .expected = 7, .present = 1};
    daemon::logIsolation(Logger{LogLevel::warning, "self", sink}, began);
    daemon::logIsolation(Logger{LogLevel::warning, "self", sink}, ended);
    REQUIRE(sink.lines.size() == 1);
    CHECK(sink.lines.front().find(R"("level":"warning","source":"self","event":"isolated","silenceMs":"10050","expected":"7","present":"3"})")
          != std::string::npos);
    daemon::logIsolation(Logger{LogLevel::info, "self", sink}, ended);
    REQUIRE(sink.lines.size() == 2);
    CHECK(sink.lines.back().find(R"("level":"info","source":"self","event":"no longer isolated","silenceMs":"61000","expected":"7","present":"1"})")
          != std::string::npos);
}
