#ifndef EGRETLATCH_DECISION_SERVING_HANDLER_HPP
#define EGRETLATCH_DECISION_SERVING_HANDLER_HPP

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>

#include <egretlatch/admission/gate.hpp>
#include <egretlatch/admission/performance_meter.hpp>
#include <egretlatch/decision/core_context.hpp>
#include <egretlatch/decision/crash_detector.hpp>
#include <egretlatch/decision/crash_report.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/decision/named_limit.hpp>
#include <egretlatch/protocol/messages.hpp>
#include <egretlatch/retry/replay_window.hpp>

namespace egretlatch::decision
{

/*! @brief State that an inner call inherits from the run that makes it. */
struct InnerContext
{
    ExecutionId execution;
    Uuid root;
    admission::Rank rank;
    admission::RootCosts rootCosts;
    SteadyTime deadline;
    account::TraceContext trace;
    int depth{};
    /*! @brief Set if the run is a repeat, which makes its calls repeats as well. */
    bool isRepeat{};
    /*! @brief Key from which the key of the call is derived. */
    std::string scope;
};

/*! @brief Result of an inner call, as reported to the run that made it. */
struct InnerCallResult
{
    /*! @brief Attempts that were not used. */
    int attempts{};
    /*! @brief Slot time used by the call. */
    Duration slotTime{};
    /*! @brief Set if the call was refused or answered with a server error. */
    bool hasFailed{};
};

/*! @brief Runs attempts at the local backend server. */
class ServingHandler
{
public:
    /**
     * @brief Builds the handler.
     * @param context State shared with the rest of the core; must outlive the handler.
     * @param gate Admission control of the backend server.
     */
    ServingHandler(CoreContext &context, std::unique_ptr<admission::Gate> gate);

    /**
     * @brief Handles an attempt.
     * @param from The daemon that makes it.
     * @param incarnation Its incarnation.
     * @param request The attempt.
     * @param now Current time.
     */
    void handleRequest(const DaemonId &from, Incarnation incarnation, const protocol::CallRequest &request, SteadyTime now);

    /**
     * @brief Cancels an attempt.
     * @param from The daemon that made it.
     * @param incarnation Its incarnation.
     * @param call The attempt.
     * @param now Current time.
     */
    void handleCancel(const DaemonId &from, Incarnation incarnation, CallId call, SteadyTime now);

    /**
     * @brief Handles the end of a run.
     * @param ended The run and its result; unknown runs are counted and dropped.
     * @param now Current time.
     */
    void handleRunEnded(const RunEnded &ended, SteadyTime now);

    /**
     * @brief Advances the gate and abandons attempts past their deadline.
     * @param now Current time.
     */
    void tick(SteadyTime now);

    /**
     * @brief Sets the backend server.
     * @param slots Slots of the backend server; zero if there is none.
     */
    void setServer(int slots);

    /**
     * @brief Sets the declaration of the backend server's service.
     * @param service The declaration.
     */
    void setService(const manifest::ServiceSpec &service);

    /*! @brief Refuses all new attempts from now on; running and waiting ones continue. */
    void drain();

    /**
     * @brief Refuses all attempts that still wait for a slot.
     * @param now Current time.
     */
    void refuseWaiting(SteadyTime now);

    /**
     * @brief Finds the run that an inner call names.
     * @param token Value of `Egretlatch-Call`.
     * @return State that the call inherits; empty if no such run is running here.
     */
    [[nodiscard]] std::optional<InnerContext> findRun(const std::string &token) const;

    /**
     * @brief Finds the run of a request by the name that its caller gave it.
     * @param name The name.
     * @return State that an inner call of the run inherits; empty if no such run is running here.
     */
    [[nodiscard]] std::optional<InnerContext> findRunNamed(const std::string &name) const;

    /**
     * @brief Lends an inner call part of the attempts lent to its run.
     * @param execution The run.
     * @return Number of attempts that the call may make beyond its first.
     */
    [[nodiscard]] int lendAttempts(ExecutionId execution);

    /**
     * @brief Numbers the inner calls of a run that have equal content.
     * @param execution The run.
     * @param call Hash of the call's content.
     * @return 0 for the first such call, 1 for the next one.
     */
    [[nodiscard]] int nextOrdinal(ExecutionId execution, std::uint64_t call);

    /**
     * @brief Returns the measured performance of the backend server.
     * @param now Current time.
     * @return Its performance for each kind that ran recently.
     */
    [[nodiscard]] std::vector<admission::KindPerformance> performance(SteadyTime now) const
    {
        return m_performanceMeter.performance(now);
    }

    /**
     * @brief Removes and returns the pending crash reports for all daemons.
     * @return Reports added since the last call.
     */
    [[nodiscard]] std::vector<CrashReport> takeCrashReports()
    {
        return std::exchange(m_crashReports, {});
    }

    /**
     * @brief Removes and returns the pending report of suspect requests that ran without a crash.
     * @param now Current time.
     * @return The report; empty if none is due.
     */
    [[nodiscard]] std::optional<CrashReport> takeSuccessReport(SteadyTime now);

    /**
     * @brief Records that the backend server has ended: another instance replaced it, or it stopped announcing itself.
     * @param hasLeft Set if it had announced its departure; else it crashed.
     */
    void noteServerEnded(bool hasLeft);

    /**
     * @brief Records that the backend server accepted no connection right after a run was lost.
     * @param now Current time.
     */
    void noteServerUnreachable(SteadyTime now);

    /**
     * @brief Records another announcement of the same instance of the backend server.
     * @param now Current time.
     */
    void noteServerAnnounced(SteadyTime now)
    {
        m_crashDetector.noteAnnouncement(now);
        m_hasUnansweredTrial = false;
    }

    /**
     * @brief Resets what was measured and learned of the previous backend server.
     * @param now Current time.
     */
    void noteServerReplaced(SteadyTime now);

    /**
     * @brief Checks if a run was started at the present instance of the backend server.
     * @param execution The run.
     * @return False if it has ended, or another instance has replaced that server.
     */
    [[nodiscard]] bool isAtPresentServer(ExecutionId execution) const;

    /**
     * @brief Refuses the waiting requests that have become quarantined.
     * @param now Current time.
     */
    void refuseQuarantined(SteadyTime now);

    /**
     * @brief Records that a run makes an inner call.
     * @param execution The run.
     * @param kind Kind of the call.
     */
    void noteInnerBegan(ExecutionId execution, const admission::KindName &kind);

    /**
     * @brief Records the end of an inner call.
     * @param execution The run that made it; may have ended.
     * @param end Result of the call.
     * @param now Current time.
     */
    void noteInnerEnded(ExecutionId execution, const InnerCallResult &end, SteadyTime now);

    /*! @brief Checks whether the backend server runs any request. */
    [[nodiscard]] bool hasRuns() const noexcept
    {
        return m_attempts.size() > static_cast<std::size_t>(m_waiting);
    }

    /*! @brief Returns the time at which a run last ended. */
    [[nodiscard]] SteadyTime lastRunEnd() const noexcept
    {
        return m_lastRunEnd;
    }

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
        /*! @brief Identity of a request whose long body is no longer held; empty for others. */
        std::optional<admission::RequestIdentity> identity;
        int attemptsLeft{};
        int openInnerCalls{};
        SteadyTime innerWaitSince;
        Duration innerWait{};
        Duration innerSlotTime{};
        bool hasFailedBelow{};
        /*! @brief Set if the request was on trial when it arrived. */
        bool isTrial{};
        /*! @brief Set once the run has been reported as running at a crash. */
        bool isInCrashReport{};
        std::map<admission::KindName, int> innerCalls;
        /*! @brief Number of inner calls that the run has made, by hash of their content. */
        std::map<std::uint64_t, int> ordinals;
    };

    /*! @brief Crash whose runs are still ending. */
    struct CrashInProgress
    {
        std::uint64_t number{};
        /*! @brief Reports made of it. */
        std::size_t reports{};
    };

    void apply(const admission::GateRelease &release, SteadyTime now);
    void start(ExecutionId execution, SteadyTime now);
    void answer(ExecutionId execution, protocol::CallAnswer answer, SteadyTime now);
    void refuse(ExecutionId execution, const admission::GateRefusal &refusal, SteadyTime now);
    void refuseImmediately(const Origin &origin, const protocol::CallRequest &request, const admission::GateRefusal &refusal, SteadyTime now);
    void refuseWrongIncarnation(const Origin &origin, SteadyTime now);
    void send(const Origin &origin, protocol::CallAnswer answer, SteadyTime now);
    [[nodiscard]] std::optional<admission::EntryRefusal> checkForEntry(const protocol::CallRequest &request, SteadyTime now);
    [[nodiscard]] admission::Ticket ticketOf(ExecutionId execution, const Attempt &attempt) const;
    void recordSpan(const Attempt &attempt, const protocol::CallAnswer &answer, SteadyTime now);
    void abandonExpired(SteadyTime now);
    void abandon(ExecutionId execution, account::RefusalReason reason, SteadyTime now);
    void recordOutcome(const Attempt &attempt, const RunEnded &ended, SteadyTime now);
    void recordCrash(const CrashedRuns &running);
    void reportRunning(CrashInProgress &crash, const CrashedRuns &running);
    void clearIfSuspect(const Attempt &attempt, SteadyTime now);
    void detectCrash(Attempt &attempt, const RunEnded &ended, SteadyTime now);
    void noteNotice(const Attempt &attempt, const ServerNotice &notice, SteadyTime now);
    void noteLost(const Attempt &attempt, SteadyTime now);
    void noteUnanswered(const Attempt &attempt, SteadyTime now);
    [[nodiscard]] std::vector<admission::RequestIdentity> takeRunsUnderWay();
    [[nodiscard]] admission::Suspicion suspicionOf(const DaemonId &from, const protocol::CallRequest &request, SteadyTime now) const;
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    checkQuarantine(const DaemonId &from, const protocol::CallRequest &request, admission::Suspicion suspicion) const;
    [[nodiscard]] admission::RequestIdentity identityOf(const Attempt &attempt) const;
    [[nodiscard]] std::string tokenOf(ExecutionId execution) const;

    CoreContext &m_context;
    std::unique_ptr<admission::Gate> m_gate;
    std::map<ExecutionId, Attempt> m_attempts;
    std::map<Origin, ExecutionId> m_byOrigin;
    std::map<std::string, ExecutionId> m_byName;
    retry::ReplayWindow m_window;
    admission::PerformanceMeter m_performanceMeter;
    CrashDetector m_crashDetector;
    NamedLimit m_namedLimit;
    /*! @brief Time from which runs are started at the present instance of the backend server. */
    SteadyTime m_serverSince;
    /*! @brief Set from an unanswered trial until the server shows that it lives. */
    bool m_hasUnansweredTrial{};
    std::optional<CrashInProgress> m_crash;
    std::vector<CrashReport> m_crashReports;
    /*! @brief Suspect requests that ran without a crash and have not been reported. */
    std::vector<admission::RequestIdentity> m_ranWell;
    SteadyTime m_lastSuccessReport;
    std::uint64_t m_lastCrashReport{};
    std::uint64_t m_lastExecution{};
    std::uint64_t m_answers{};
    /*! @brief Attempts that have not been started. */
    int m_waiting{};
    SteadyTime m_lastRunEnd;
    bool m_hasServer{};
    bool m_isDraining{};
};

} // namespace egretlatch::decision

#endif
