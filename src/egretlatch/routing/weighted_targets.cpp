#include <egretlatch/routing/weighted_targets.hpp>

#include <algorithm>

namespace egretlatch::routing
{

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
    Standing &standing = found->second;
    double sum = 0.0;
    for (std::size_t place = 0; place < route.targets.size(); ++place) {
        standing.owed[place] += route.targets[place].weight;
        sum += route.targets[place].weight;
    }
    const auto most = std::max_element(standing.owed.begin(), standing.owed.end());
    *most -= sum;
    return route.targets[static_cast<std::size_t>(most - standing.owed.begin())].service;
}

WeightedTargets::Standing WeightedTargets::begin(const manifest::RouteSpec &route)
{
    Standing standing{.targets = route.targets, .owed = {}};
    for (const manifest::RouteTarget &target : route.targets) {
        standing.owed.push_back(m_random.fraction() * target.weight);
    }
    return standing;
}

} // namespace egretlatch::routing
