#ifndef EGRETLATCH_ROUTING_ADAPTIVE_ROUTER_HPP
#define EGRETLATCH_ROUTING_ADAPTIVE_ROUTER_HPP

#include <map>

#include <egretlatch/core/random_source.hpp>
#include <egretlatch/routing/kind_averages.hpp>
#include <egretlatch/routing/router.hpp>
#include <egretlatch/routing/server_paces.hpp>
#include <egretlatch/routing/server_record.hpp>

namespace egretlatch::routing
{

/**
 * @brief The router of the whole design.
 *
 * Takes the one of two random servers of the daemon's own data centre where the answer is expected first, by how slow and
 * how full each is; the better of two further away has the call where it is expected to answer that much sooner that the
 * way is paid for. Servers that fail more than their peers are taken out and tried again gently.
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
    void notePaces(const DaemonId &daemon, const std::vector<admission::KindPace> &paces, SteadyTime now) override;

private:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /*! @brief A server that a call may go to, and when its answer is expected. */
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
        /*! @brief Those that have said that they leave; chosen only where no other is left. */
        std::vector<DaemonId> draining;
        KindAverages averages;
        ServerPaces paces;
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
