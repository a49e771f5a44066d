#ifndef EGRETLATCH_ROUTING_LEAST_LOADED_ROUTER_HPP
#define EGRETLATCH_ROUTING_LEAST_LOADED_ROUTER_HPP

#include <map>

#include <egretlatch/core/random_source.hpp>
#include <egretlatch/routing/router.hpp>

namespace egretlatch::routing
{

/*! @brief Baseline router: chooses the one of two random servers with fewer attempts in flight from this daemon. */
class LeastLoadedRouter final : public Router
{
public:
    /**
     * @brief Builds a router.
     * @param random Source of the random choices; must outlive the router.
     */
    explicit LeastLoadedRouter(RandomSource &random);

    void setMembers(const std::vector<membership::Member> &members, SteadyTime now) override;
    [[nodiscard]] std::optional<DaemonId> choose(const RouteRequest &request, SteadyTime now) override;
    void notePerformance(const DaemonId & /*daemon*/, const std::vector<admission::KindPerformance> & /*performance*/, SteadyTime /*now*/) override
    {
    }
    void noteResult(const DaemonId &daemon, const AttemptResult &result, SteadyTime now) override;

private:
    RandomSource &m_random;
    std::map<std::string, std::vector<DaemonId>> m_servers;
    std::map<DaemonId, int> m_inFlight;
};

} // namespace egretlatch::routing

#endif
