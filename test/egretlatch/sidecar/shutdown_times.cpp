#include <doctest/doctest.h>

#include <egretlatch/sidecar/shutdown_times.hpp>

using namespace egretlatch;
using namespace std::chrono_literals;

TEST_CASE("a request that arrives at the end of the notice has its route's timeout before the process exits")
{
    // Guards against requests being cut off by a planned restart with 4 s of grace: callers were served for 2.3 s and the process
    // exited at 3.1 s, although a request may take 1.2 s.
    const sidecar::ShutdownTimes shorter = sidecar::shutdownTimes(4s, 1200ms);
    CHECK(shorter.notice + 1200ms <= shorter.end);
    CHECK(shorter.end < 4s);
    // A grace period of 6 s leaves room for the full notice.
    CHECK(sidecar::shutdownTimes(6s, 1200ms) == sidecar::ShutdownTimes{.notice = 2300ms, .end = 5100ms, .delivery = 5700ms});
    // The platform keeps sending callers for 2 s, however long their requests take.
    CHECK(sidecar::shutdownTimes(4s, 30s).notice == 2s);
}
