#include <doctest/doctest.h>

#include <egretlatch/membership/departures.hpp>
#include <egretlatch/membership/incarnation_name.hpp>

using egretlatch::membership::Departures;
using egretlatch::membership::incarnationName;

TEST_CASE("a departure is that of the incarnation it names alone")
{
    Departures departures;
    CHECK(departures.note(incarnationName("i-1", 100)));
    CHECK_FALSE(departures.note(incarnationName("i-1", 100)));
    CHECK(departures.contains(incarnationName("i-1", 100)));
    CHECK_FALSE(departures.contains(incarnationName("i-1", 200)));
    CHECK_FALSE(departures.contains(incarnationName("i-2", 100)));
}

TEST_CASE("a server whose start is not reported has left if any of its incarnations has")
{
    // Guards against another writer's report that brings a server back to a daemon that has restarted.
    Departures departures;
    departures.note(incarnationName("i-1", 100));
    CHECK(departures.contains(incarnationName("i-1", 0)));
    CHECK_FALSE(departures.contains(incarnationName("i-10", 0)));
    departures.note(incarnationName("i-2", 0));
    CHECK(departures.contains(incarnationName("i-2", 0)));
    CHECK_FALSE(departures.contains(incarnationName("i-2", 100)));
}
