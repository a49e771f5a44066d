#include <doctest/doctest.h>

#include <egretlatch/store/backoff.hpp>
#include <egretlatch/store/rate_limiter.hpp>

using namespace egretlatch;
using namespace egretlatch::store;

TEST_CASE("a fleet that sends as fast as it can stays below its rate")
{
    // All daemons lose their rows at the same time and write continuously. Each is limited to its share, so the platform
    // receives the rate of the fleet instead of that rate times the number of daemons.
    constexpr int daemons = 750;
    constexpr int seconds = 60;
    constexpr double fleetRate = 200.0;
    RateLimiter limiter{fleetRate, 1.0};
    limiter.setFleetSize(daemons);
    int taken = 0;
    for (int millisecond = 0; millisecond < seconds * 1000; ++millisecond) {
        taken += limiter.tryTake(SteadyTime{std::chrono::milliseconds{millisecond}}) ? 1 : 0;
    }
    CHECK(taken * daemons <= (fleetRate * seconds) + daemons);
    CHECK(taken * daemons >= fleetRate * seconds * 0.9);
}

TEST_CASE("backoff waits grow up to the maximum and are reset after a success")
{
    SeededRandom random{5};
    Backoff backoff{std::chrono::milliseconds{100}, std::chrono::seconds{2}};
    Duration longest{};
    for (int failure = 0; failure < 20; ++failure) {
        longest = std::max(longest, backoff.next(random));
    }
    CHECK(longest > std::chrono::seconds{1});
    CHECK(longest <= std::chrono::seconds{2});
    backoff.reset();
    CHECK(backoff.next(random) <= std::chrono::milliseconds{100});
}
