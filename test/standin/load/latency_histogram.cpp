#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include <load/latency_histogram.hpp>

using standin::load::LatencyHistogram;

TEST_CASE("latency histogram: a quantile is never below the exact value and at most one bucket width above it")
{
    CHECK(rc::check([](std::vector<std::uint32_t> microseconds) {
        RC_PRE(!microseconds.empty());
        LatencyHistogram histogram;
        for (const std::uint32_t value : microseconds) {
            histogram.add(std::chrono::microseconds{value});
        }
        std::sort(microseconds.begin(), microseconds.end());
        const double median = microseconds[(microseconds.size() + 1) / 2 - 1];
        const double found = std::chrono::duration<double, std::micro>{histogram.quantile(0.5)}.count();
        constexpr double bucketWidth = 1.0 / 32.0;
        RC_ASSERT(found >= median);
        RC_ASSERT(found <= median * (1.0 + bucketWidth) + 1.0);
    }));
}

TEST_CASE("latency histogram: adding a histogram gives the count and quantiles of all durations")
{
    LatencyHistogram first;
    LatencyHistogram second;
    first.add(std::chrono::milliseconds{1});
    second.add(std::chrono::seconds{2});
    first.add(second);
    CHECK(first.count() == 2);
    CHECK(first.max() == std::chrono::seconds{2});
    CHECK(first.quantile(1.0) == std::chrono::seconds{2});
}

TEST_CASE("latency histogram: the quantiles of an empty histogram are zero")
{
    CHECK(LatencyHistogram{}.quantile(0.99) == std::chrono::seconds{0});
}
