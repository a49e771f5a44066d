#ifndef EGRETLATCH_ROUTING_ROUTER_HPP
#define EGRETLATCH_ROUTING_ROUTER_HPP

#include <optional>
#include <set>
#include <string>
#include <vector>

#include <egretlatch/admission/kind_pace.hpp>
#include <egretlatch/admission/load_report.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/uuid.hpp>
#include <egretlatch/membership/member.hpp>

namespace egretlatch::routing
{

/*! @brief A call that needs a backend server. */
struct RouteRequest
{
    std::string service;
    std::string kind;
    Uuid root;
    /*! @brief Daemons that this call has already been tried at. */
    std::set<DaemonId> excluded;
    /*! @brief When nobody waits for the call any more. */
    SteadyTime deadline;
};

/*! @brief How an attempt at a serving daemon ended. */
enum class AttemptOutcome {
    answered,
    /*! @brief The backend server answered with a server error. */
    failed,
    /*! @brief The serving daemon refused for lack of capacity. */
    refused,
    /*! @brief No answer came: the daemon or its backend server is down or cut off. */
    lost,
    /*! @brief The caller went away before the answer. */
    abandoned,
};

/*! @brief What an attempt shows of the server it was made at. */
struct AttemptResult
{
    AttemptOutcome outcome{};
    std::string kind;
    /*! @brief From sending to the answer. */
    Duration latency{};
    /*! @brief Size of the answer's body. */
    std::size_t bytes{};
    /*! @brief What the serving daemon told with the answer. */
    std::optional<admission::LoadReport> load;
};

/*! @brief Chooses the server for each attempt. */
class Router
{
public:
    virtual ~Router() = default;

    /**
     * @brief Takes the members that are known now.
     * @param members All members, in any state, this daemon first.
     * @param now Current time.
     */
    virtual void setMembers(const std::vector<membership::Member> &members, SteadyTime now) = 0;

    /**
     * @brief Chooses a server and counts an attempt as in flight there.
     * @param request The call.
     * @param now Current time.
     * @return The daemon beside the chosen server, or nothing if there is none to choose.
     */
    [[nodiscard]] virtual std::optional<DaemonId> choose(const RouteRequest &request, SteadyTime now) = 0;

    /**
     * @brief Ends an attempt that choose() began.
     * @param daemon The daemon that was chosen.
     * @param result How it ended.
     * @param now Current time.
     */
    virtual void noteResult(const DaemonId &daemon, const AttemptResult &result, SteadyTime now) = 0;

    /**
     * @brief Takes what a daemon tells of its server's speed.
     * @param daemon The daemon.
     * @param paces Its paces, by kind.
     * @param now Current time.
     */
    virtual void notePaces(const DaemonId &daemon, const std::vector<admission::KindPace> &paces, SteadyTime now) = 0;
};

} // namespace egretlatch::routing

#endif
