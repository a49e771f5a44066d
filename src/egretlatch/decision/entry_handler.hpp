#ifndef EGRETLATCH_DECISION_ENTRY_HANDLER_HPP
#define EGRETLATCH_DECISION_ENTRY_HANDLER_HPP

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <egretlatch/decision/event.hpp>
#include <egretlatch/decision/serving_handler.hpp>
#include <egretlatch/decision/surroundings.hpp>
#include <egretlatch/protocol/messages.hpp>

namespace egretlatch::decision
{

/*! @brief Takes calls over HTTP, makes attempts at serving daemons, and answers. */
class EntryHandler
{
public:
    /**
     * @brief Builds the handler.
     * @param surroundings What it shares with the rest of the core; must outlive it.
     * @param serving Knows the runs that make inner calls; must outlive it.
     */
    EntryHandler(Surroundings &surroundings, ServingHandler &serving);

    /**
     * @brief Takes a call.
     * @param arrived The call.
     * @param now Current time.
     */
    void handleArrived(const CallArrived &arrived, SteadyTime now);

    /**
     * @brief Takes it that nobody waits for an answer any more.
     * @param exchange The exchange.
     * @param now Current time.
     */
    void handleCallerGone(ExchangeId exchange, SteadyTime now);

    /**
     * @brief Takes the end of an attempt; one that nobody waits for is counted and dropped.
     * @param from The daemon that answers.
     * @param answer The answer.
     * @param now Current time.
     */
    void handleAnswer(const DaemonId &from, const protocol::CallAnswer &answer, SteadyTime now);

    /**
     * @brief Takes it that an attempt never left this daemon.
     * @param failed The attempt.
     * @param now Current time.
     */
    void handleSendFailed(const SendFailed &failed, SteadyTime now);

    /**
     * @brief Lets time pass: answers what is past its deadline.
     * @param now Current time.
     */
    void tick(SteadyTime now);

    /**
     * @brief Gives the time at which a call passes its deadline.
     * @return The earliest one, or nothing if no call is pending.
     */
    [[nodiscard]] std::optional<SteadyTime> nextDeadline() const;

    [[nodiscard]] bool isIdle() const noexcept
    {
        return m_pending.empty();
    }

private:
    struct Pending
    {
        ExchangeId exchange;
        CallerCall call;
        bool idempotent{};
        Uuid root;
        admission::Rank rank;
        int depth{};
        std::optional<ExecutionId> parent;
        account::TraceContext trace;
        std::string parentSpanId;
        SteadyTime arrived;
        SteadyTime deadline;
        int attemptsLeft{};
        Duration slotTime{};
        std::set<DaemonId> tried;
        /*! @brief Whether an attempt that has ended may have run. */
        bool mayHaveRun{};
        DaemonId server;
        account::TraceContext attemptTrace;
        SteadyTime sentAt;
        int attemptsOut{};
    };

    using PendingMap = std::map<CallId, Pending>;

    [[nodiscard]] std::optional<std::string> mistakeOf(const CallerCall &call) const;
    [[nodiscard]] Pending begin(const CallArrived &arrived, const manifest::KindSpec &kind, const std::optional<InnerContext> &inner, SteadyTime now);
    void makeAttempt(Pending pending, SteadyTime now);
    void endAttempt(const Pending &pending, const routing::AttemptResult &result, const protocol::CallAnswer *answer, SteadyTime now);
    void noteAnswer(const Pending &pending, const protocol::CallAnswer &answer, SteadyTime now);
    [[nodiscard]] bool mayRetry(const Pending &pending, const protocol::CallAnswer &answer, SteadyTime now) const;
    void finish(const Pending &pending, CallerAnswer answer, SteadyTime now);
    void finishRefused(const Pending &pending, account::Refusal refusal, SteadyTime now);
    void giveUp(PendingMap::iterator found, account::RefusalReason reason, const std::string &rule, SteadyTime now);
    [[nodiscard]] Pending take(PendingMap::iterator found);

    Surroundings &m_surroundings;
    ServingHandler &m_serving;
    PendingMap m_pending;
    std::map<ExchangeId, CallId> m_byExchange;
    std::set<std::pair<SteadyTime, CallId>> m_deadlines;
    std::uint64_t m_lastCall{};
};

} // namespace egretlatch::decision

#endif
