#include <egretlatch/routing/weighted_targets.hpp>

#include <algorithm>

namespace egretlatch::routing
{

namespace internal
{

// Weights are percentages in practice; with a larger sum the initial position needn't be spread over the whole cycle.
constexpr std::uint64_t maxInitialSteps = 10'000;

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
    auto found = m_rotations.find(route.name);
    if (found == m_rotations.end() || found->second.targets != route.targets) {
        found = m_rotations.insert_or_assign(route.name, startRotation(route)).first;
    }
    return route.targets[advance(found->second)].service;
}

WeightedTargets::Rotation WeightedTargets::startRotation(const manifest::RouteSpec &route)
{
    Rotation rotation{.targets = route.targets, .credits = std::vector<double>(route.targets.size())};
    std::uint64_t totalWeight = 0;
    for (const manifest::RouteTarget &target : route.targets) {
        totalWeight += static_cast<std::uint64_t>(target.weight);
    }
    // The rotation repeats after as many steps as the weights sum up to, so every position within that cycle is a valid start.
    const std::uint64_t steps = m_random.below(std::min(totalWeight, internal::maxInitialSteps));
    for (std::uint64_t step = 0; step < steps; ++step) {
        static_cast<void>(advance(rotation));
    }
    return rotation;
}

std::size_t WeightedTargets::advance(Rotation &rotation)
{
    double totalWeight = 0.0;
    for (std::size_t index = 0; index < rotation.targets.size(); ++index) {
        rotation.credits[index] += rotation.targets[index].weight;
        totalWeight += rotation.targets[index].weight;
    }
    const auto highest = std::max_element(rotation.credits.begin(), rotation.credits.end());
    *highest -= totalWeight;
    return static_cast<std::size_t>(highest - rotation.credits.begin());
}

} // namespace egretlatch::routing
