#include <doctest/doctest.h>

#include <algorithm>

#include <load/schedule.hpp>

namespace
{

using standin::load::makeSchedule;
using standin::load::Scenario;
using standin::load::Schedule;

constexpr std::uint64_t seed = 20261202;

Scenario twoKinds()
{
    Scenario scenario;
    scenario.kinds = {{.service = "a", .kind = "x", .share = 3}, {.service = "a", .kind = "y", .share = 1}};
    scenario.phases = {{.name = "normal", .seconds = 2, .rate = 100}, {.name = "surge", .seconds = 1, .rate = 400}};
    return scenario;
}

Schedule scheduleOf(const Scenario &scenario)
{
    egretlatch::SeededRandom random{seed};
    return makeSchedule(scenario, random);
}

} // namespace

TEST_CASE("schedule: each second has the rate of its phase and the declared shares of kinds")
{
    const Schedule schedule = scheduleOf(twoKinds());
    REQUIRE(schedule.size() == 600);
    const auto inSecond = [&schedule](const int second, const std::size_t kind) {
        return std::count_if(schedule.begin(), schedule.end(), [&](const auto &request) {
            return request.kind == kind && request.at >= std::chrono::seconds{second} && request.at < std::chrono::seconds{second + 1};
        });
    };
    CHECK(inSecond(0, 0) == 75);
    CHECK(inSecond(1, 1) == 25);
    CHECK(inSecond(2, 0) == 300);
    CHECK(std::is_sorted(schedule.begin(), schedule.end(), [](const auto &left, const auto &right) {
        return left.at < right.at;
    }));
}

TEST_CASE("schedule: the same seed generates the same requests")
{
    CHECK(scheduleOf(twoKinds()) == scheduleOf(twoKinds()));
}

TEST_CASE("schedule: single requests are added to the mix")
{
    Scenario scenario = twoKinds();
    scenario.singles = {{.at = std::chrono::milliseconds{500}, .service = "a", .kind = "y", .body = "poison", .count = 2}};
    const Schedule schedule = scheduleOf(scenario);
    CHECK(schedule.size() == 602);
    CHECK(std::count_if(schedule.begin(),
                        schedule.end(),
                        [](const auto &request) {
                            return request.body == "poison";
                        })
          == 2);
}
