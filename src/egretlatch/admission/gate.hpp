#ifndef EGRETLATCH_ADMISSION_GATE_HPP
#define EGRETLATCH_ADMISSION_GATE_HPP

#include <string>
#include <vector>

#include <egretlatch/account/refusal.hpp>
#include <egretlatch/admission/load_report.hpp>
#include <egretlatch/admission/rank.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/uuid.hpp>

namespace egretlatch::admission
{

/*! @brief Request for a slot of the backend server. */
struct Ticket
{
    ExecutionId execution;
    Uuid root;
    std::string kind;
    /*! @brief Declared slot time of the kind. */
    Duration cost{};
    /*! @brief Class at this service. */
    RankClass rankClass;
    /*! @brief Slot time that the root has used so far. */
    Duration invested{};
    /*! @brief True if a run of another service makes this call; false for a root. */
    bool isInner{};
    SteadyTime arrived;
    SteadyTime deadline;

    friend bool operator==(const Ticket &, const Ticket &) = default;
};

/*! @brief Outcome of a run at the backend server, as observed by the daemon. */
enum class RunOutcome {
    succeeded,
    /*! @brief The server answered with a server error, or refused the request. */
    failed,
    /*! @brief The server reported that it did not start the request for lack of capacity. */
    rejected,
    /*! @brief The connection was lost or could not be opened. */
    lost,
    /*! @brief The deadline passed or the caller disconnected during the run. */
    abandoned,
};

/*! @brief Measurements of a finished run. */
struct Observation
{
    RunOutcome outcome{};
    /*! @brief Time from dispatch to the end. */
    Duration latency{};
    /*! @brief Part of the latency that the run spent waiting for its own inner calls. */
    Duration waitedForInner{};

    friend bool operator==(const Observation &, const Observation &) = default;
};

/*! @brief Request refused by the gate, with its reason and figures. */
struct GateRefusal
{
    ExecutionId execution;
    account::RefusalReason reason{};
    std::string rule;
    std::vector<account::Figure> figures;
    /*! @brief Delay before a retry; zero if a retry would not help. */
    std::chrono::milliseconds retryAfter{};

    friend bool operator==(const GateRefusal &, const GateRefusal &) = default;
};

/*! @brief Actions for the daemon: runs to start, in this order, and requests to refuse. */
struct GateRelease
{
    std::vector<ExecutionId> started;
    std::vector<GateRefusal> refused;

    friend bool operator==(const GateRelease &, const GateRelease &) = default;
};

/*! @brief Interface for the decision which requests a backend server runs, and when. */
class Gate
{
public:
    virtual ~Gate() = default;

    /**
     * @brief Offers a request.
     * @param ticket The request.
     * @param now Current time.
     * @return The resulting actions; a request in neither list waits inside the gate.
     */
    [[nodiscard]] virtual GateRelease offer(const Ticket &ticket, SteadyTime now) = 0;

    /**
     * @brief Ends a run and frees its slot.
     * @param execution Run that the gate has started.
     * @param observation Measurements of the run.
     * @param now Current time.
     * @return The resulting actions for queued requests.
     */
    [[nodiscard]] virtual GateRelease finish(ExecutionId execution, const Observation &observation, SteadyTime now) = 0;

    /**
     * @brief Withdraws a queued request.
     * @param execution The request.
     * @return True if it was queued and will not be started.
     */
    [[nodiscard]] virtual bool withdraw(ExecutionId execution) = 0;

    /**
     * @brief Advances time: refuses expired requests, and updates limits and levels.
     * @param now Current time.
     * @return The resulting actions.
     */
    [[nodiscard]] virtual GateRelease tick(SteadyTime now) = 0;

    /**
     * @brief Sets the number of requests that the backend server announced to run at a time.
     * @param slots Number of slots; the gate may run fewer, never more.
     */
    virtual void setSlots(int slots) = 0;

    /**
     * @brief Sets the time that requests may wait for a slot before the service counts as overloaded.
     * @param target The service's declared queue target.
     */
    virtual void setQueueTarget(Duration target) = 0;

    /**
     * @brief Sets the rate limit that the backend server named; a gate without queueing by rate ignores it.
     * @param perSecond Runs that may start per second; empty for no limit.
     * @param now Current time.
     */
    virtual void setRateLimit(std::optional<double> /*perSecond*/, SteadyTime /*now*/)
    {
    }

    /**
     * @brief Returns the load to be reported to other daemons.
     * @param now Current time.
     * @return The observed load.
     */
    [[nodiscard]] virtual LoadReport load(SteadyTime now) const = 0;

    /**
     * @brief Returns the figures that determine the level, for logs.
     * @param now Current time.
     * @return The figures; empty for a gate without a level.
     */
    [[nodiscard]] virtual std::vector<account::Figure> levelFigures(SteadyTime /*now*/) const
    {
        return {};
    }
};

} // namespace egretlatch::admission

#endif
