#include <doctest/doctest.h>

#include <load/recovery.hpp>

namespace
{

using standin::load::findRecovery;
using standin::load::OverloadSpan;

constexpr OverloadSpan overload{.fromSecond = 4, .toSecond = 6};

} // namespace

TEST_CASE("recovery: measured from the end of the overload to the first of three consecutive recovered seconds")
{
    const std::vector<double> goodput{0, 50, 100, 100, 40, 40, 60, 100, 90, 95, 96, 120, 10};
    const auto recovery = findRecovery(goodput, overload);
    CHECK(recovery.baselineGoodput == 100.0);
    CHECK(recovery.seconds == 3);
}

TEST_CASE("recovery: takes no time if goodput never dropped")
{
    const std::vector<double> goodput(12, 100.0);
    CHECK(findRecovery(goodput, overload).seconds == 0);
}

TEST_CASE("recovery: two recovered seconds at the end of the run are not enough")
{
    const std::vector<double> goodput{0, 50, 100, 100, 40, 40, 60, 100, 100};
    CHECK_FALSE(findRecovery(goodput, overload).seconds.has_value());
}

TEST_CASE("recovery: no recovery time without an overload")
{
    const std::vector<double> goodput(12, 100.0);
    CHECK_FALSE(findRecovery(goodput, OverloadSpan{}).seconds.has_value());
}
