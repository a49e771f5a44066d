#include <doctest/doctest.h>

#include <load/recovery.hpp>

namespace
{

using standin::load::findRecovery;
using standin::load::OverloadSpan;

constexpr OverloadSpan overload{.fromSecond = 4, .toSecond = 6};

} // namespace

TEST_CASE("recovery: counted from the end of the overload to the first of three steady seconds")
{
    const std::vector<double> goodput{0, 50, 100, 100, 40, 40, 60, 100, 90, 95, 96, 120, 10};
    const auto recovery = findRecovery(goodput, overload);
    CHECK(recovery.baselineGoodput == 100.0);
    CHECK(recovery.seconds == 3);
}

TEST_CASE("recovery: goodput that never dipped has recovered at once")
{
    const std::vector<double> goodput(12, 100.0);
    CHECK(findRecovery(goodput, overload).seconds == 0);
}

TEST_CASE("recovery: two steady seconds at the end of the run are too few")
{
    const std::vector<double> goodput{0, 50, 100, 100, 40, 40, 60, 100, 100};
    CHECK_FALSE(findRecovery(goodput, overload).seconds.has_value());
}

TEST_CASE("recovery: without an overload there is none")
{
    const std::vector<double> goodput(12, 100.0);
    CHECK_FALSE(findRecovery(goodput, OverloadSpan{}).seconds.has_value());
}
