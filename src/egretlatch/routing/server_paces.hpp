#ifndef EGRETLATCH_ROUTING_SERVER_PACES_HPP
#define EGRETLATCH_ROUTING_SERVER_PACES_HPP

#include <map>
#include <string>
#include <vector>

#include <egretlatch/admission/kind_pace.hpp>
#include <egretlatch/core/ids.hpp>

namespace egretlatch::routing
{

/**
 * @brief How fast the servers of one service are, as their daemons report.
 *
 * At a few calls a second a daemon would take minutes to find out for itself which servers are slow, and would have to try
 * them for it; each server's own daemon sees all of its runs.
 */
class ServerPaces
{
public:
    /**
     * @brief Takes what a daemon told of its server.
     * @param server The daemon.
     * @param pace The pace at one kind.
     * @param now Current time.
     */
    void note(const DaemonId &server, const admission::KindPace &pace, SteadyTime now);

    /**
     * @brief Forgets a server, as when another one took its place.
     * @param server The daemon.
     */
    void forget(const DaemonId &server);

    /**
     * @brief Gives how much longer a server takes than the servers do on average.
     * @param server The daemon.
     * @param kind Kind of the call.
     * @param now Current time.
     * @return The difference, below zero for a fast server; it goes to zero while nothing is heard, so that a slow server
     * is tried again.
     */
    [[nodiscard]] Duration excessTime(const DaemonId &server, const std::string &kind, SteadyTime now) const;

    /**
     * @brief Gives how often a server fails.
     * @param server The daemon.
     * @param kind Kind of the call.
     * @param now Current time.
     * @return The part of the runs that it failed by itself, 0 to 1; it goes to zero while nothing is heard.
     */
    [[nodiscard]] double failureShare(const DaemonId &server, const std::string &kind, SteadyTime now) const;

    /**
     * @brief Gives what the servers take on average.
     * @param kind Kind of the call.
     * @return The time of a run without what it waits for inner calls; zero if nothing was reported.
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
        /*! @brief Sum of the servers' own times: the mean is asked for with each server that is weighed for a call. */
        Duration totalOwnTime{};
    };

    static void remove(Kind &kind, const DaemonId &server);

    std::map<std::string, Kind> m_kinds;
};

} // namespace egretlatch::routing

#endif
