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

/*! @brief A request that asks for a slot of the backend server. */
struct Ticket
{
    ExecutionId execution;
    Uuid root;
    std::string kind;
    /*! @brief Slot time that the kind is declared to take. */
    Duration cost{};
    /*! @brief Class at this service. */
    RankClass rankClass;
    /*! @brief Slot time that has been spent on the root so far. */
    Duration invested{};
    /*! @brief Whether another service's run makes this call, rather than a caller. */
    bool isInner{};
    SteadyTime arrived;
    SteadyTime deadline;

    friend bool operator==(const Ticket &, const Ticket &) = default;
};

/*! @brief How a run at the backend server ended, as the daemon saw it. */
enum class RunOutcome {
    succeeded,
    /*! @brief The server answered with a server error, or refused. */
    failed,
    /*! @brief The server said that it did not start the request for lack of capacity. */
    rejected,
    /*! @brief The connection was lost, or could not be opened. */
    lost,
    /*! @brief The deadline passed or the caller went away while it ran. */
    abandoned,
};

/*! @brief What a finished run shows of the backend server. */
struct Observation
{
    RunOutcome outcome{};
    /*! @brief From dispatch to the end. */
    Duration latency{};
    /*! @brief Part of the latency in which the run waited for its own inner calls. */
    Duration waitedForInner{};

    friend bool operator==(const Observation &, const Observation &) = default;
};

/*! @brief A request that the gate gives up on, and why. */
struct GateRefusal
{
    ExecutionId execution;
    account::RefusalReason reason{};
    std::string rule;
    std::vector<account::Figure> figures;
    /*! @brief When to come back; zero where that would not help. */
    std::chrono::milliseconds retryAfter{};

    friend bool operator==(const GateRefusal &, const GateRefusal &) = default;
};

/*! @brief What is to be done now: runs to start, in this order, and requests to refuse. */
struct GateRelease
{
    std::vector<ExecutionId> started;
    std::vector<GateRefusal> refused;

    friend bool operator==(const GateRelease &, const GateRelease &) = default;
};

/*! @brief Decides which requests a backend server runs, and when. */
class Gate
{
public:
    virtual ~Gate() = default;

    /**
     * @brief Offers a request.
     * @param ticket The request.
     * @param now Current time.
     * @return What to do; a request that is in neither list waits inside the gate.
     */
    [[nodiscard]] virtual GateRelease offer(const Ticket &ticket, SteadyTime now) = 0;

    /**
     * @brief Ends a run and frees its slot.
     * @param execution A run that the gate has started.
     * @param observation How it ended.
     * @param now Current time.
     * @return What to do with the requests that waited.
     */
    [[nodiscard]] virtual GateRelease finish(ExecutionId execution, const Observation &observation, SteadyTime now) = 0;

    /**
     * @brief Takes back a request that waits.
     * @param execution The request.
     * @return True if it waited and will not be started any more.
     */
    [[nodiscard]] virtual bool withdraw(ExecutionId execution) = 0;

    /**
     * @brief Lets time pass: drops what has expired, moves limits and levels.
     * @param now Current time.
     * @return What to do.
     */
    [[nodiscard]] virtual GateRelease tick(SteadyTime now) = 0;

    /**
     * @brief Says how many requests the backend server has announced to take at a time.
     * @param slots Number of slots; the gate may run fewer, never more.
     */
    virtual void setSlots(int slots) = 0;

    /**
     * @brief Says how long requests may wait for a slot before the service counts as overloaded.
     * @param target The service's declared queue target.
     */
    virtual void setQueueTarget(Duration target) = 0;

    /**
     * @brief Gives what other daemons are to know.
     * @param now Current time.
     * @return The load as observed.
     */
    [[nodiscard]] virtual LoadReport load(SteadyTime now) const = 0;

    /**
     * @brief Gives what the level is decided by, for logs.
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
