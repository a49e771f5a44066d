#ifndef EGRETLATCH_DECISION_SERVING_HANDLER_HPP
#define EGRETLATCH_DECISION_SERVING_HANDLER_HPP

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>

#include <egretlatch/admission/gate.hpp>
#include <egretlatch/admission/pace_meter.hpp>
#include <egretlatch/decision/core_context.hpp>
#include <egretlatch/decision/crash_detector.hpp>
#include <egretlatch/decision/crash_report.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/protocol/messages.hpp>
#include <egretlatch/retry/replay_window.hpp>

namespace egretlatch::decision
{

/*! @brief What an inner call takes over from the run that makes it. */
struct InnerContext
{
    ExecutionId execution;
    Uuid root;
    admission::Rank rank;
    admission::RootCosts rootCosts;
    SteadyTime deadline;
    account::TraceContext trace;
    int depth{};
    /*! @brief The run repeats one, so its calls are repeats, too. */
    bool isRepeat{};
    /*! @brief What the key of the call is derived from. */
    std::string scope;
};

/*! @brief How an inner call ended, as far as the run that made it is concerned. */
struct InnerEnd
{
    /*! @brief Attempts that were not spent. */
    int attempts{};
    /*! @brief Slot time that the call took. */
    Duration slotTime{};
    /*! @brief Whether it brought no good answer. */
    bool hasFailed{};
};

/*! @brief Runs attempts at the backend server beside this daemon. */
class ServingHandler
{
public:
    /**
     * @brief Builds the handler.
     * @param surroundings What it shares with the rest of the core; must outlive it.
     * @param gate Decides what runs, and when.
     */
    ServingHandler(CoreContext &surroundings, std::unique_ptr<admission::Gate> gate);

    /**
     * @brief Takes an attempt.
     * @param from The daemon that makes it.
     * @param incarnation Its life.
     * @param request The attempt.
     * @param now Current time.
     */
    void handleRequest(const DaemonId &from, Incarnation incarnation, const protocol::CallRequest &request, SteadyTime now);

    /**
     * @brief Gives up an attempt that nobody waits for.
     * @param from The daemon that made it.
     * @param incarnation Its life.
     * @param call The attempt.
     * @param now Current time.
     */
    void handleCancel(const DaemonId &from, Incarnation incarnation, CallId call, SteadyTime now);

    /**
     * @brief Takes the end of a run.
     * @param ended The run and its result; unknown runs are counted and dropped.
     * @param now Current time.
     */
    void handleRunEnded(const RunEnded &ended, SteadyTime now);

    /**
     * @brief Lets time pass.
     * @param now Current time.
     */
    void tick(SteadyTime now);

    /**
     * @brief Takes the backend server's announcement, or the end of it.
     * @param slots Slots of the backend server; zero if there is none.
     */
    void setServer(int slots);

    /**
     * @brief Takes the declaration of the backend server's service.
     * @param service The declaration.
     */
    void setService(const manifest::ServiceSpec &service);

    /*! @brief Refuses all new attempts from now on; what runs or waits goes on. */
    void drain();

    /**
     * @brief Refuses what still waits for a slot.
     * @param now Current time.
     */
    void refuseWaiting(SteadyTime now);

    /**
     * @brief Finds the run that an inner call names.
     * @param token Value of `Egretlatch-Call`.
     * @return What the call inherits, or nothing if no such run is running here.
     */
    [[nodiscard]] std::optional<InnerContext> findRun(const std::string &token) const;

    /**
     * @brief Finds the run of a request by what its caller calls it.
     * @param name The name.
     * @return What an inner call of the run inherits, or nothing if no such run is running here.
     */
    [[nodiscard]] std::optional<InnerContext> findRunNamed(const std::string &name) const;

    /**
     * @brief Takes attempts for an inner call out of what its run was lent.
     * @param execution The run.
     * @return How many attempts the call may spend beyond its first.
     */
    [[nodiscard]] int lendAttempts(ExecutionId execution);

    /**
     * @brief Numbers the inner calls of a run that are alike.
     * @param execution The run.
     * @param call Hash of what the call asks for.
     * @return 0 for the first such call, 1 for the next one.
     */
    [[nodiscard]] int nextOrdinal(ExecutionId execution, std::uint64_t call);

    /**
     * @brief Gives how fast the backend server is.
     * @param now Current time.
     * @return Its paces at the kinds that ran lately.
     */
    [[nodiscard]] std::vector<admission::KindPace> paces(SteadyTime now) const
    {
        return m_paces.paces(now);
    }

    /**
     * @brief Takes what other daemons should hear of requests that crash servers.
     * @return What is new since the last call.
     */
    [[nodiscard]] std::vector<CrashReport> takeCrashNews()
    {
        return std::exchange(m_crashNews, {});
    }

    /**
     * @brief Takes that another instance is in the backend server's place.
     * @param now Current time.
     */
    void noteServerReplaced(SteadyTime now);

    /**
     * @brief Notes that a run makes an inner call.
     * @param execution The run.
     * @param kind What it calls.
     */
    void noteInnerBegan(ExecutionId execution, const admission::KindName &kind);

    /**
     * @brief Ends an inner call.
     * @param execution The run that made it; may have ended.
     * @param end How it ended.
     */
    void noteInnerEnded(ExecutionId execution, const InnerEnd &end, SteadyTime now);

    [[nodiscard]] bool hasWaiting() const noexcept
    {
        return m_waiting > 0;
    }

    [[nodiscard]] bool isIdle() const noexcept
    {
        return m_attempts.empty();
    }

    [[nodiscard]] admission::LoadReport load(SteadyTime now) const;

    [[nodiscard]] std::vector<account::Figure> levelFigures(const SteadyTime now) const
    {
        return m_gate->levelFigures(now);
    }

private:
    using Origin = std::tuple<DaemonId, Incarnation, CallId>;

    struct Attempt
    {
        Origin origin;
        protocol::CallRequest request;
        account::TraceContext trace;
        SteadyTime arrived;
        SteadyTime deadline;
        std::optional<SteadyTime> started;
        int attemptsLeft{};
        int innerOpen{};
        SteadyTime innerSince;
        Duration innerWait{};
        Duration innerSlotTime{};
        bool hasFailedBelow{};
        std::map<admission::KindName, int> innerCalls;
        /*! @brief How many inner calls of each content the run has made. */
        std::map<std::uint64_t, int> ordinals;
    };

    void apply(const admission::GateRelease &release, SteadyTime now);
    void start(ExecutionId execution, SteadyTime now);
    void answer(ExecutionId execution, protocol::CallAnswer answer, SteadyTime now);
    void refuse(ExecutionId execution, const admission::GateRefusal &refusal, SteadyTime now);
    void refuseAtOnce(const Origin &origin, const protocol::CallRequest &request, const admission::GateRefusal &refusal, SteadyTime now);
    void refuseStranger(const Origin &origin, SteadyTime now);
    void send(const Origin &origin, protocol::CallAnswer answer, SteadyTime now);
    [[nodiscard]] admission::Ticket ticketOf(ExecutionId execution, const Attempt &attempt) const;
    void recordSpan(const Attempt &attempt, const protocol::CallAnswer &answer, SteadyTime now);
    void abandonExpired(SteadyTime now);
    void abandon(ExecutionId execution, account::RefusalReason reason, SteadyTime now);
    void learn(const Attempt &attempt, const RunEnded &ended, SteadyTime now);
    void tellCrash(const std::vector<admission::RequestFingerprint> &running);
    void clearIfSuspect(const Attempt &attempt);
    void watchForCrash(const Attempt &attempt, const RunEnded &ended, SteadyTime now);
    [[nodiscard]] admission::RequestFingerprint fingerprint(const Attempt &attempt) const;
    [[nodiscard]] std::string tokenOf(ExecutionId execution) const;

    CoreContext &m_surroundings;
    std::unique_ptr<admission::Gate> m_gate;
    std::map<ExecutionId, Attempt> m_attempts;
    std::map<Origin, ExecutionId> m_byOrigin;
    std::map<std::string, ExecutionId> m_byName;
    retry::ReplayWindow m_window;
    admission::PaceMeter m_paces;
    CrashDetector m_witness;
    std::vector<CrashReport> m_crashNews;
    std::uint64_t m_lastCrashNews{};
    std::uint64_t m_lastExecution{};
    std::uint64_t m_answers{};
    /*! @brief Attempts that have not been started. */
    int m_waiting{};
    bool m_hasServer{};
    bool m_isDraining{};
};

} // namespace egretlatch::decision

#endif
