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
 * @brief Shares out the requests of a route among its targets by weight.
 *
 * Each target's share is kept over any few requests, not only on average: a draw for each request would be off by several
 * parts in a hundred over the few hundred requests that a part is judged by. Whether a target has room is not asked, so a
 * part that is short of room keeps its share of refusals, too. Daemons begin at random places, or all would send their
 * first requests to the same target.
 */
class WeightedTargets
{
public:
    /**
     * @brief Builds it.
     * @param random Source of the places to begin at; must outlive it.
     */
    explicit WeightedTargets(RandomSource &random);

    /**
     * @brief Chooses the target of one request.
     * @param route The route; has at least one target with a weight.
     * @return The service.
     */
    [[nodiscard]] const std::string &choose(const manifest::RouteSpec &route);

private:
    struct Rotation
    {
        std::vector<manifest::RouteTarget> targets;
        /*! @brief What each target is owed, in parts of the sum of the weights. */
        std::vector<double> credits;
    };

    [[nodiscard]] static std::size_t advance(Rotation &rotation);
    [[nodiscard]] Rotation startRotation(const manifest::RouteSpec &route);

    RandomSource &m_random;
    std::map<std::string, Rotation> m_rotations;
};

} // namespace egretlatch::routing

#endif
