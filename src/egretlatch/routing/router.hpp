#ifndef EGRETLATCH_ROUTING_ROUTER_HPP
#define EGRETLATCH_ROUTING_ROUTER_HPP

#include <optional>
#include <set>
#include <string>
#include <vector>

#include <egretlatch/admission/kind_performance.hpp>
#include <egretlatch/admission/load_report.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/uuid.hpp>
#include <egretlatch/membership/member.hpp>

namespace egretlatch::routing
{

/*! @brief Describes a call that needs a backend server. */
struct RouteRequest
{
    std::string service;
    std::string kind;
    Uuid root;
    /*! @brief Daemons that the call has already been sent to. */
    std::set<DaemonId> excluded;
    /*! @brief Deadline of the call, after which no caller waits for it. */
    SteadyTime deadline;
};

/*! @brief Outcomes of an attempt at a serving daemon. */
enum class AttemptOutcome {
    answered,
    /*! @brief The backend server answered with a server error. */
    failed,
    /*! @brief The serving daemon refused the call for lack of capacity. */
    refused,
    /*! @brief No answer arrived: the daemon or its backend server is down or unreachable. */
    lost,
    /*! @brief The caller disconnected or timed out before the answer. */
    abandoned,
};

/*! @brief Result of an attempt, as seen by the daemon that made it. */
struct AttemptResult
{
    AttemptOutcome outcome{};
    std::string kind;
    /*! @brief Time from sending the call to receiving the answer. */
    Duration latency{};
    /*! @brief Size of the answer's body in bytes. */
    std::size_t bytes{};
    /*! @brief Load that the serving daemon reported with the answer. */
    std::optional<admission::LoadReport> load;
};

/*! @brief Chooses the server for each attempt. */
class Router
{
public:
    virtual ~Router() = default;

    /**
     * @brief Updates the known members.
     * @param members All members in any state, this daemon first.
     * @param now Current time.
     */
    virtual void setMembers(const std::vector<membership::Member> &members, SteadyTime now) = 0;

    /**
     * @brief Chooses a server and counts an attempt as in flight there.
     * @param request The call.
     * @param now Current time.
     * @return The daemon of the chosen server, or nothing if there is no candidate.
     */
    [[nodiscard]] virtual std::optional<DaemonId> choose(const RouteRequest &request, SteadyTime now) = 0;

    /**
     * @brief Records the end of an attempt that choose() started.
     * @param daemon The daemon that was chosen.
     * @param result Result of the attempt.
     * @param now Current time.
     */
    virtual void noteResult(const DaemonId &daemon, const AttemptResult &result, SteadyTime now) = 0;

    /**
     * @brief Records the performance that a daemon reports for its server.
     * @param daemon The daemon.
     * @param performance Run times and failure shares of its server, by kind of call.
     * @param now Current time.
     */
    virtual void notePerformance(const DaemonId &daemon, const std::vector<admission::KindPerformance> &performance, SteadyTime now) = 0;
};

} // namespace egretlatch::routing

#endif
