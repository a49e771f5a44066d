#include <doctest/doctest.h>

#include <egretlatch/sidecar/shutdown_times.hpp>

using namespace egretlatch;
using namespace std::chrono_literals;

TEST_CASE("a request that came as the notice ended has its route's time before the process ends")
{
    // Of a planned restart with four seconds of grace the last requests were cut off: callers were served for 2.3 s, and the
    // process ended at 3.1 s, while a request may take 1.2.
    const sidecar::ShutdownTimes shorter = sidecar::shutdownTimes(4s, 1200ms);
    CHECK(shorter.notice + 1200ms <= shorter.end);
    CHECK(shorter.end < 4s);
    // With six seconds there is room for the whole notice.
    CHECK(sidecar::shutdownTimes(6s, 1200ms) == sidecar::ShutdownTimes{.notice = 2300ms, .end = 5100ms});
    // The platform goes on sending callers for two seconds, whatever their requests take.
    CHECK(sidecar::shutdownTimes(4s, 30s).notice == 2s);
}
