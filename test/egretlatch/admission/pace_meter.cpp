#include <doctest/doctest.h>

#include <egretlatch/admission/pace_meter.hpp>

using namespace egretlatch;
using namespace egretlatch::admission;
using namespace std::chrono_literals;

namespace
{

constexpr SteadyTime start{std::chrono::hours{1}};

} // namespace

TEST_CASE("a pace is told after some runs, follows a server that turns slow, and is not told once nothing runs")
{
    PaceMeter meter;
    meter.noteCompleted("read", 100ms, start);
    CHECK_FALSE(meter.paceAt("read", start).has_value());
    for (int run = 0; run < 20; ++run) {
        meter.noteCompleted("read", 100ms, start);
    }
    CHECK(meter.paceAt("read", start) == KindPace{.kind = "read", .own = 100ms, .failing = 0.0});

    // A server that turns slow answers nothing for long, and callers give up: what they gave up counts as well.
    for (int run = 0; run < 20; ++run) {
        meter.noteAbandoned("read", 900ms, start + 1s);
    }
    CHECK(meter.paceAt("read", start + 1s)->own > 500ms);

    CHECK(meter.paces(start + 10s).empty());
}

TEST_CASE("a server that fails part of its runs is told of with that part, and no longer once it is well")
{
    PaceMeter meter;
    for (int run = 0; run < 100; ++run) {
        run % 2 == 0 ? meter.noteCompleted("read", 100ms, start) : meter.noteFailed("read", start);
    }
    CHECK(meter.paceAt("read", start)->failing == doctest::Approx(0.5).epsilon(0.1));
    CHECK(meter.paceAt("read", start)->own == 100ms);

    for (int run = 0; run < 100; ++run) {
        meter.noteCompleted("read", 100ms, start);
    }
    CHECK(meter.paceAt("read", start)->failing < 0.01);
}

TEST_CASE("a caller that leaves early says nothing of the server")
{
    PaceMeter meter;
    for (int run = 0; run < 20; ++run) {
        meter.noteCompleted("read", 100ms, start);
    }
    meter.noteAbandoned("read", 10ms, start);
    meter.noteAbandoned("unseen", 10ms, start);

    CHECK(meter.paces(start) == std::vector<KindPace>{{.kind = "read", .own = 100ms, .failing = 0.0}});
}
