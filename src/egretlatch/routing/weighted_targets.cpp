#include <egretlatch/routing/weighted_targets.hpp>

#include <algorithm>

namespace egretlatch::routing
{

namespace internal
{

// Weights are hundredths in practice; larger ones need no exact place.
constexpr std::uint64_t longestRound = 10'000;

} // namespace internal

WeightedTargets::WeightedTargets(RandomSource &random)
    : m_random{random}
{
}

const std::string &WeightedTargets::choose(const manifest::RouteSpec &route)
{
    if (route.targets.size() == 1) {
        return route.targets.front().service;
    }
    auto found = m_standings.find(route.name);
    if (found == m_standings.end() || found->second.targets != route.targets) {
        found = m_standings.insert_or_assign(route.name, begin(route)).first;
    }
    return route.targets[next(found->second)].service;
}

WeightedTargets::Standing WeightedTargets::begin(const manifest::RouteSpec &route)
{
    Standing standing{.targets = route.targets, .owed = std::vector<double>(route.targets.size())};
    std::uint64_t round = 0;
    for (const manifest::RouteTarget &target : route.targets) {
        round += static_cast<std::uint64_t>(target.weight);
    }
    // A whole round brings the standing back to where it began, so any place within one is as good as any other.
    const std::uint64_t steps = m_random.below(std::min(round, internal::longestRound));
    for (std::uint64_t step = 0; step < steps; ++step) {
        static_cast<void>(next(standing));
    }
    return standing;
}

std::size_t WeightedTargets::next(Standing &standing)
{
    double sum = 0.0;
    for (std::size_t place = 0; place < standing.targets.size(); ++place) {
        standing.owed[place] += standing.targets[place].weight;
        sum += standing.targets[place].weight;
    }
    const auto most = std::max_element(standing.owed.begin(), standing.owed.end());
    *most -= sum;
    return static_cast<std::size_t>(most - standing.owed.begin());
}

} // namespace egretlatch::routing
