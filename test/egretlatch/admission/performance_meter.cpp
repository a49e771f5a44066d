#include <doctest/doctest.h>

#include <egretlatch/admission/performance_meter.hpp>

using namespace egretlatch;
using namespace egretlatch::admission;
using namespace std::chrono_literals;

namespace
{

constexpr SteadyTime start{std::chrono::hours{1}};

} // namespace

TEST_CASE("performance is reported after some runs, follows a server that becomes slow, and expires without runs")
{
    PerformanceMeter meter;
    meter.noteCompleted("read", 100ms, start);
    CHECK_FALSE(meter.performanceOf("read", start).has_value());
    for (int run = 0; run < 20; ++run) {
        meter.noteCompleted("read", 100ms, start);
    }
    CHECK(meter.performanceOf("read", start) == KindPerformance{.kind = "read", .ownTime = 100ms, .failureShare = 0.0});

    // A server that becomes slow sends no answers for a long time and callers abandon their requests, so abandoned runs
    // count as well.
    for (int run = 0; run < 20; ++run) {
        meter.noteAbandoned("read", 900ms, start + 1s);
    }
    CHECK(meter.performanceOf("read", start + 1s)->ownTime > 500ms);

    CHECK(meter.performance(start + 10s).empty());
}

TEST_CASE("the reported failure share follows the failed runs and drops after recovery")
{
    PerformanceMeter meter;
    for (int run = 0; run < 100; ++run) {
        run % 2 == 0 ? meter.noteCompleted("read", 100ms, start) : meter.noteFailed("read", start);
    }
    CHECK(meter.performanceOf("read", start)->failureShare == doctest::Approx(0.5).epsilon(0.1));
    CHECK(meter.performanceOf("read", start)->ownTime == 100ms);

    for (int run = 0; run < 100; ++run) {
        meter.noteCompleted("read", 100ms, start);
    }
    CHECK(meter.performanceOf("read", start)->failureShare < 0.01);
}

TEST_CASE("a run abandoned early does not change the performance")
{
    PerformanceMeter meter;
    for (int run = 0; run < 20; ++run) {
        meter.noteCompleted("read", 100ms, start);
    }
    meter.noteAbandoned("read", 10ms, start);
    meter.noteAbandoned("unseen", 10ms, start);

    CHECK(meter.performance(start) == std::vector<KindPerformance>{{.kind = "read", .ownTime = 100ms, .failureShare = 0.0}});
}
