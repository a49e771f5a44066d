#ifndef EGRETLATCH_ROUTING_SERVER_PERFORMANCE_HPP
#define EGRETLATCH_ROUTING_SERVER_PERFORMANCE_HPP

#include <map>
#include <string>
#include <vector>

#include <egretlatch/admission/kind_performance.hpp>
#include <egretlatch/core/ids.hpp>

namespace egretlatch::routing
{

/**
 * @brief Stores how fast the servers of one service are, as reported by their daemons.
 *
 * At a few calls a second, a daemon would need minutes to find slow servers by itself, and would have to send calls to them.
 * A server's own daemon sees all of its runs.
 */
class ServerPerformance
{
public:
    /**
     * @brief Records a daemon's report on its server.
     * @param server The daemon.
     * @param performance Run time and failure share for one kind of call.
     * @param now Current time.
     */
    void note(const DaemonId &server, const admission::KindPerformance &performance, SteadyTime now);

    /**
     * @brief Removes all reports on a server, for example after it was replaced by another one.
     * @param server The daemon.
     */
    void forget(const DaemonId &server);

    /**
     * @brief Returns how much longer a server takes than the average of all servers.
     * @param server The daemon.
     * @param kind Kind of the call.
     * @param now Current time.
     * @return The difference, negative for a fast server. It decays to zero while no reports arrive, so that a slow server is
     * tried again.
     */
    [[nodiscard]] Duration excessTime(const DaemonId &server, const std::string &kind, SteadyTime now) const;

    /**
     * @brief Returns the share of its runs that a server fails.
     * @param server The daemon.
     * @param kind Kind of the call.
     * @param now Current time.
     * @return Share of runs that failed through the server's own fault, 0 to 1. It decays to zero while no reports arrive.
     */
    [[nodiscard]] double failureShare(const DaemonId &server, const std::string &kind, SteadyTime now) const;

    /**
     * @brief Returns the average run time of the servers.
     * @param kind Kind of the call.
     * @return Run time without the time spent waiting for inner calls; zero if nothing was reported.
     */
    [[nodiscard]] Duration mean(const std::string &kind) const;

private:
    struct Report
    {
        Duration ownTime{};
        double failureShare{};
        SteadyTime receivedAt;
    };

    [[nodiscard]] const Report *find(const DaemonId &server, const std::string &kind) const;
    [[nodiscard]] static double weight(const Report &report, SteadyTime now);

    struct Kind
    {
        std::map<DaemonId, Report> servers;
        /*! @brief Sum of the servers' own run times, maintained because the mean is needed for each candidate of a call. */
        Duration totalOwnTime{};
    };

    static void remove(Kind &kind, const DaemonId &server);

    std::map<std::string, Kind> m_kinds;
};

} // namespace egretlatch::routing

#endif
