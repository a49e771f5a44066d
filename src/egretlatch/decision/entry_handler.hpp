#ifndef EGRETLATCH_DECISION_ENTRY_HANDLER_HPP
#define EGRETLATCH_DECISION_ENTRY_HANDLER_HPP

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <egretlatch/decision/core_context.hpp>
#include <egretlatch/decision/entry_rules.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/decision/requester.hpp>
#include <egretlatch/decision/serving_handler.hpp>
#include <egretlatch/protocol/messages.hpp>
#include <egretlatch/retry/key_ledger.hpp>
#include <egretlatch/retry/preferred_shards.hpp>
#include <egretlatch/retry/ratio_budget.hpp>
#include <egretlatch/retry/request_key.hpp>
#include <egretlatch/retry/shard_grants.hpp>
#include <egretlatch/retry/verdict_rules.hpp>

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
     * @param ledgerLimits How much is remembered of request keys.
     * @param grants Tells the owners of keys that name none; null without a platform.
     */
    EntryHandler(CoreContext &surroundings, ServingHandler &serving, retry::KeyLedgerLimits ledgerLimits, std::unique_ptr<retry::ShardGrants> grants);

    /**
     * @brief Takes a call.
     * @param arrived The call.
     * @param now Current time.
     */
    void handleArrived(const CallArrived &arrived, SteadyTime now);

    /**
     * @brief Takes a call that another daemon passes on, since this one owns its key.
     * @param from The daemon that passes it on.
     * @param incarnation Its life.
     * @param request The call.
     * @param now Current time.
     */
    void handleForwarded(const DaemonId &from, Incarnation incarnation, const protocol::CallRequest &request, SteadyTime now);

    /**
     * @brief Takes an answer of the platform.
     * @param answered The answer.
     * @param now Current time.
     * @return True if it was asked for here.
     */
    [[nodiscard]] bool handlePlatform(const PlatformAnswered &answered, SteadyTime now);

    /**
     * @brief Mints a request key for a caller.
     * @param requested The wish.
     * @param isDraining Whether this daemon is leaving, so that a key of its own would soon have no owner.
     * @param now Current time.
     */
    void handleKeyRequested(const KeyRequested &requested, bool isDraining, SteadyTime now);

    /**
     * @brief Takes it that nobody waits for an answer any more.
     * @param exchange The exchange.
     * @param now Current time.
     */
    void handleCallerGone(ExchangeId exchange, SteadyTime now);

    /**
     * @brief Cancels the calls of a run whose answer nobody waits for.
     * @param run The run.
     * @param now Current time.
     */
    void cancelInnerCalls(ExecutionId run, SteadyTime now);

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
     * @brief Ends all attempts at a daemon whose connection is lost.
     * @param lost The daemon, and whether an attempt can have reached it.
     * @param now Current time.
     */
    void handlePeerLost(const PeerLost &lost, SteadyTime now);

    /**
     * @brief Lets time pass: answers what is past its deadline.
     * @param now Current time.
     */
    void tick(SteadyTime now);

    /**
     * @brief Sets how attempts are made.
     * @param rules The rules.
     */
    void setRules(const EntryRules &rules)
    {
        m_rules = rules;
    }

    /*! @brief Refuses all new roots from now on; calls that are under way, and the inner calls of runs, go on. */
    void drain();

    /**
     * @brief Gives the time at which a call passes its deadline.
     * @return The earliest one, or nothing if no call is pending.
     */
    [[nodiscard]] std::optional<SteadyTime> nextDeadline() const;

    [[nodiscard]] bool isIdle() const noexcept
    {
        return m_pending.empty();
    }

    [[nodiscard]] std::map<std::string, double> retriesLeft() const
    {
        return m_ratio.left();
    }

private:
    enum class Phase {
        /*! @brief An attempt is out. */
        attempting,
        /*! @brief Waits to make the next attempt; none is out. */
        backingOff,
        /*! @brief The owner of the key has been asked; it makes the attempts. */
        forwarded,
        /*! @brief The same key is being run for someone else; its end is this call's end, too. */
        joined,
    };

    struct Pending
    {
        Requester requester;
        Phase phase{Phase::attempting};
        retry::KeyKnowledge knowledge{};
        /*! @brief Whether the ledger holds the call's key as running on behalf of this call. */
        bool holdsKey{};
        /*! @brief Whether the key was granted by the table rather than minted by this daemon. */
        bool isGranted{};
        /*! @brief What the keys of inner calls are derived from. */
        std::string scope;
        int retries{};
        /*! @brief Key for a resend, as the owner gave it. */
        std::string nextKey;
        CallerCall call;
        bool idempotent{};
        Uuid root;
        admission::Rank rank;
        admission::RootCosts rootCosts;
        int depth{};
        /*! @brief A backend server may have had it. */
        bool isRepeat{};
        /*! @brief Its caller is a run that repeats one, so each of its attempts is a repeat. */
        bool isOfRepeat{};
        std::optional<ExecutionId> parent;
        account::TraceContext trace;
        std::string parentSpanId;
        SteadyTime arrived;
        SteadyTime deadline;
        SteadyTime wakeAt;
        int attemptsLeft{};
        Duration slotTime{};
        std::set<DaemonId> tried;
        /*! @brief Verdict on the attempts that have ended. */
        Verdict verdict{Verdict::notRun};
        DaemonId server;
        account::TraceContext attemptTrace;
        SteadyTime sentAt;
        int attemptsOut{};
    };

    using PendingMap = std::map<CallId, Pending>;

    /*! @brief Daemons that one call is offered to at most while none of their servers gets it. */
    static constexpr std::size_t mostMoves = 4;

    [[nodiscard]] std::optional<std::string> mistakeOf(const CallerCall &call, bool isInner) const;
    void answerMistake(ExchangeId exchange, const CallerCall &call, int status, std::string requestError);
    [[nodiscard]] bool isQuarantined(const Pending &pending, SteadyTime now) const;
    void admit(Pending pending, SteadyTime now);
    void findOwner(Pending pending, const std::optional<InnerContext> &inner, SteadyTime now);
    [[nodiscard]] std::optional<retry::RequestKey> keyOf(const Pending &pending, const std::optional<InnerContext> &inner) const;
    [[nodiscard]] retry::KeyLedger &ledgerOf(const Pending &pending);
    void tickGrants(SteadyTime now);
    void shareRetrySlack();
    void own(Pending pending, const retry::RequestKey &key, SteadyTime now);
    void ownUnnamed(Pending pending, SteadyTime now);
    void answerFinding(Pending pending, const retry::KeyLookup &finding, SteadyTime now);
    [[nodiscard]] bool inheritAttempts(Pending &pending, const retry::RequestKey &key, std::uint64_t request);
    void beginOwned(Pending pending, std::chrono::milliseconds age, std::uint64_t request, SteadyTime now);
    void forward(Pending pending, const retry::KeyOwner &owner, SteadyTime now);
    void join(Pending pending);
    void handleOwnerAnswer(Pending pending, const protocol::CallAnswer &answer, SteadyTime now);
    void releaseKey(const Pending &pending, CallerAnswer &answer);
    void finishJoined(const std::string &key, const CallerAnswer &answer, SteadyTime now);
    [[nodiscard]] protocol::CallRequest requestOf(const Pending &pending, CallId call, SteadyTime now) const;
    void keep(CallId call, Pending pending, SteadyTime wakeAt);
    void retryLater(Pending pending, SteadyTime now);
    void deliver(const Pending &pending, CallerAnswer answer);
    void recordRefusal(const Pending &pending, const CallerAnswer &answer);
    void recordSpan(const Pending &pending, const CallerAnswer &answer, SteadyTime now);
    [[nodiscard]] std::string innerScope(const InnerContext &inner, const CallerCall &call);
    [[nodiscard]] std::chrono::milliseconds ageOf(SteadyTime now) const;
    [[nodiscard]] Pending begin(const CallArrived &arrived, const manifest::KindSpec &kind, const std::optional<InnerContext> &inner, SteadyTime now);
    void makeAttempt(Pending pending, SteadyTime now);
    void endAttempt(const Pending &pending, const routing::AttemptResult &result, const protocol::CallAnswer *answer, SteadyTime now);
    void noteAnswer(const Pending &pending, const protocol::CallAnswer &answer, SteadyTime now);
    void note(std::string_view event, const Pending &pending, const protocol::CallAnswer &answer, SteadyTime now);
    [[nodiscard]] bool mayMoveOn(const Pending &pending, const protocol::CallAnswer &answer, SteadyTime now) const;
    [[nodiscard]] bool mayTryElsewhere(const Pending &pending, const protocol::CallAnswer &answer, SteadyTime now);
    [[nodiscard]] bool takeRetry(const Pending &pending, const protocol::CallAnswer &answer, SteadyTime now);
    [[nodiscard]] bool mayRetry(const Pending &pending, const protocol::CallAnswer &answer, SteadyTime now);
    void finish(Pending pending, CallerAnswer answer, SteadyTime now);
    void finishRefused(Pending pending, account::Refusal refusal, SteadyTime now);
    void giveUp(PendingMap::iterator found, account::RefusalReason reason, const std::string &rule, SteadyTime now);
    [[nodiscard]] Pending take(PendingMap::iterator found);

    CoreContext &m_surroundings;
    ServingHandler &m_serving;
    PendingMap m_pending;
    std::map<ExchangeId, CallId> m_byExchange;
    /*! @brief Calls that wait for the end of a key that is run for another call. */
    std::map<std::string, std::vector<CallId>> m_joined;
    retry::KeyLedger m_ledger;
    /*! @brief Keys granted by the table: their ages are calendar times, so they are forgotten apart from the others. */
    retry::KeyLedger m_grantedLedger;
    std::unique_ptr<retry::ShardGrants> m_grants;
    SteadyTime m_lastGrants;
    retry::PreferredShards m_preferredShards;
    retry::RatioBudget m_ratio;
    EntryRules m_rules;
    std::size_t m_daemons{};
    /*! @brief When each pending call is to be looked at: its next attempt, or its deadline. */
    std::set<std::pair<SteadyTime, CallId>> m_wakes;
    std::uint64_t m_lastCall{};
    bool m_isDraining{};
};

} // namespace egretlatch::decision

#endif
