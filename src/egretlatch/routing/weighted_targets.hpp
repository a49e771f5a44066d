#ifndef EGRETLATCH_ROUTING_WEIGHTED_TARGETS_HPP
#define EGRETLATCH_ROUTING_WEIGHTED_TARGETS_HPP

#include <map>
#include <string>
#include <vector>

#include <egretlatch/core/random_source.hpp>
#include <egretlatch/manifest/route_spec.hpp>

namespace egretlatch::routing
{

/**
 * @brief Distributes the requests of a route over its targets by smooth weighted round robin.
 *
 * Each target gets its share of any short run of requests, not only on average: random choice would be off by several percent
 * over the few hundred requests that a target is evaluated by. The capacity of a target isn't considered, so a target with
 * too little capacity also keeps its share of refusals. Daemons start at random positions, since otherwise all of them
 * would send their first requests to the same target.
 */
class WeightedTargets
{
public:
    /**
     * @brief Creates an instance without routes.
     * @param random Source of the initial positions; must outlive the instance.
     */
    explicit WeightedTargets(RandomSource &random);

    /**
     * @brief Chooses the target of the next request.
     * @param route The route; must have at least one target with a positive weight.
     * @return Name of the target's service.
     */
    [[nodiscard]] const std::string &choose(const manifest::RouteSpec &route);

private:
    struct Rotation
    {
        std::vector<manifest::RouteTarget> targets;
        /*! @brief Credit of each target, in units of weight; the target with the highest credit is next. */
        std::vector<double> credits;
    };

    [[nodiscard]] static std::size_t advance(Rotation &rotation);
    [[nodiscard]] Rotation startRotation(const manifest::RouteSpec &route);

    RandomSource &m_random;
    std::map<std::string, Rotation> m_rotations;
};

} // namespace egretlatch::routing

#endif
