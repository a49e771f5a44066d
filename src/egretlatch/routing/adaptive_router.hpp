#ifndef EGRETLATCH_ROUTING_ADAPTIVE_ROUTER_HPP
#define EGRETLATCH_ROUTING_ADAPTIVE_ROUTER_HPP

#include <map>

#include <egretlatch/core/random_source.hpp>
#include <egretlatch/routing/kind_averages.hpp>
#include <egretlatch/routing/router.hpp>
#include <egretlatch/routing/server_performance.hpp>
#include <egretlatch/routing/server_record.hpp>

namespace egretlatch::routing
{

/**
 * @brief Routes by expected latency, with data centre affinity and outlier ejection.
 *
 * Picks two random servers of the local data centre and chooses the one with the lower expected latency, estimated from its
 * speed, its load and its failures (power of two choices). The better of two servers in other data centres gets the call if
 * its expected latency is lower by more than the cost of the distance. Servers that fail more often than their peers are
 * ejected for a while and then ramped up again.
 */
class AdaptiveRouter final : public Router
{
public:
    /**
     * @brief Builds a router.
     * @param random Source of the random choices; must outlive the router.
     */
    explicit AdaptiveRouter(RandomSource &random);

    void setMembers(const std::vector<membership::Member> &members, SteadyTime now) override;
    [[nodiscard]] std::optional<DaemonId> choose(const RouteRequest &request, SteadyTime now) override;
    void noteResult(const DaemonId &daemon, const AttemptResult &result, SteadyTime now) override;
    void notePerformance(const DaemonId &daemon, const std::vector<admission::KindPerformance> &performance, SteadyTime now) override;

private:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /*! @brief A candidate server and its expected latency. */
    struct Choice
    {
        DaemonId id;
        Milliseconds expectedLatency{};
    };

    struct Server
    {
        Incarnation incarnation;
        std::string service;
        bool isNear{};
        bool isServing{};
        ServerRecord record;
    };

    struct Service
    {
        std::vector<DaemonId> servers;
        /*! @brief Draining servers; chosen only if no other server remains. */
        std::vector<DaemonId> draining;
        KindAverages averages;
        ServerPerformance performance;
    };

    [[nodiscard]] static std::vector<DaemonId> untriedServers(const Service &service, const RouteRequest &request);
    [[nodiscard]] std::vector<DaemonId> candidateServers(const Service &service, const RouteRequest &request, SteadyTime now);
    [[nodiscard]] Milliseconds expectedLatency(const Service &service, const std::string &kind, const DaemonId &id, SteadyTime now) const;
    [[nodiscard]] static bool isFarPreferable(const Service &service, const std::string &kind, const Choice &near, const Choice &far);
    [[nodiscard]] std::optional<Choice> betterOfTwo(const Service &service, const std::string &kind, const std::vector<DaemonId> &candidates, SteadyTime now);
    [[nodiscard]] bool isFailure(const Service &service, const AttemptResult &result) const;
    void ejectOutlier(const Service &service, const DaemonId &daemon, SteadyTime now);
    void updateServer(const membership::Member &member, const std::string &ownDataCentre, SteadyTime now);

    RandomSource &m_random;
    std::map<DaemonId, Server> m_servers;
    std::map<std::string, Service> m_services;
    std::optional<SteadyTime> m_startedAt;
};

} // namespace egretlatch::routing

#endif
