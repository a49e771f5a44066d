#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>

#include <fakes/gossip_network.hpp>

using namespace std::chrono_literals;
using egretlatch::Duration;
using egretlatch::membership::MemberState;
using fakes::GossipNetwork;

namespace
{

constexpr std::uint64_t seed = 20261202;

[[nodiscard]] double seconds(const Duration span)
{
    return std::chrono::duration<double>{span}.count();
}

// Returns the simulated times in seconds after which each running member sees the subject in `state`, sorted.
[[nodiscard]] std::vector<double> spreadTimes(GossipNetwork &network, const std::size_t subject, const MemberState state)
{
    std::vector<double> times(network.size(), -1);
    const egretlatch::SteadyTime begin = network.now();
    const auto took = network.runUntil(
        [&] {
            bool areAll = true;
            for (std::size_t observer = 0; observer < network.size(); ++observer) {
                const bool isObserver = network.node(observer).isRunning && observer != subject;
                if (isObserver && times[observer] < 0 && network.observedState(observer, subject) == state) {
                    times[observer] = seconds(network.now() - begin);
                }
                areAll = areAll && (!isObserver || times[observer] >= 0);
            }
            return areAll;
        },
        60s);
    REQUIRE(took.has_value());
    std::erase(times, -1);
    std::sort(times.begin(), times.end());
    return times;
}

struct Figures
{
    double bytesAtRest{};
    std::vector<double> join;
    std::vector<double> drain;
    std::vector<double> death;
};

[[nodiscard]] Figures measure(const std::size_t count, const double loss)
{
    GossipNetwork network{count, seed};
    REQUIRE(network
                .runUntil(
                    [&network] {
                        return network.hasConverged();
                    },
                    120s)
                .has_value());
    network.run(20s);
    network.setLoss(loss);
    network.resetCounts();
    network.run(20s);
    Figures figures;
    figures.bytesAtRest = static_cast<double>(network.bytesSent()) / static_cast<double>(count) / 20;
    const std::size_t newcomer = network.add();
    figures.join = spreadTimes(network, newcomer, MemberState::serving);
    network.run(5s);
    network.node(newcomer).roster.updateSelf(MemberState::draining, "launch-log", 35, 300);
    network.node(newcomer).gossip.announceSelf(network.now());
    figures.drain = spreadTimes(network, newcomer, MemberState::draining);
    network.run(5s);
    network.kill(newcomer);
    figures.death = spreadTimes(network, newcomer, MemberState::suspect);
    return figures;
}

[[nodiscard]] double median(const std::vector<double> &sorted)
{
    return sorted[sorted.size() / 2];
}

} // namespace

TEST_CASE("dissemination times and bytes in a simulated network stay within their bounds")
{
    // Measured in simulated time, so the bounds hold on any machine. The environment variable sets a larger fleet.
    const char *const setting = std::getenv("EGRETLATCH_GOSSIP_DAEMONS");
    const std::size_t count = setting == nullptr ? 60 : std::strtoul(setting, nullptr, 10);
    for (const double loss : {0.0, 0.3}) {
        const Figures figures = measure(count, loss);
        MESSAGE(count,
                " daemons, loss ",
                loss,
                ": bytes/s at rest ",
                figures.bytesAtRest,
                "; p50 and max in s: join ",
                median(figures.join),
                " ",
                figures.join.back(),
                ", drain ",
                median(figures.drain),
                " ",
                figures.drain.back(),
                ", death ",
                median(figures.death),
                " ",
                figures.death.back());
        CHECK(figures.bytesAtRest < 27'000);
        CHECK(figures.drain.back() < 5);
        CHECK(figures.death.back() < 12);
    }
}
