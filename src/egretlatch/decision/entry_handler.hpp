#ifndef EGRETLATCH_DECISION_ENTRY_HANDLER_HPP
#define EGRETLATCH_DECISION_ENTRY_HANDLER_HPP

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <egretlatch/decision/account_gate.hpp>
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

/*! @brief Accepts calls over HTTP, makes attempts at serving daemons, and answers the callers. */
class EntryHandler
{
public:
    /**
     * @brief Builds the handler.
     * @param context State shared with the rest of the core; must outlive the handler.
     * @param serving Handler of the runs that make inner calls; must outlive this one.
     * @param ledgerLimits Limits of the key ledgers.
     * @param grants Resolves the owners of keys that name none; null without a platform.
     */
    EntryHandler(CoreContext &context, ServingHandler &serving, retry::KeyLedgerLimits ledgerLimits, std::unique_ptr<retry::ShardGrants> grants);

    /**
     * @brief Sets the gate that admits calls by API key and quota; without one, no call needs a key.
     * @param accounts The gate; must outlive the handler.
     */
    void setAccounts(AccountGate &accounts)
    {
        m_accounts = &accounts;
    }

    /**
     * @brief Handles a call.
     * @param arrived The call.
     * @param now Current time.
     */
    void handleArrived(const CallArrived &arrived, SteadyTime now);

    /**
     * @brief Handles a call that another daemon forwards because this one owns its key.
     * @param from The forwarding daemon.
     * @param incarnation Its incarnation.
     * @param request The call.
     * @param now Current time.
     */
    void handleForwarded(const DaemonId &from, Incarnation incarnation, const protocol::CallRequest &request, SteadyTime now);

    /**
     * @brief Handles an answer of the platform.
     * @param answered The answer.
     * @param now Current time.
     * @return True if this handler made the request.
     */
    [[nodiscard]] bool handlePlatform(const PlatformAnswered &answered, SteadyTime now);

    /**
     * @brief Mints a request key for a caller.
     * @param requested The request for a key.
     * @param isDraining Set if this daemon is shutting down, so that its keys would soon have no owner.
     * @param now Current time.
     */
    void handleKeyRequested(const KeyRequested &requested, bool isDraining, SteadyTime now);

    /**
     * @brief Handles the disconnection of a caller.
     * @param exchange The exchange.
     * @param now Current time.
     */
    void handleCallerGone(ExchangeId exchange, SteadyTime now);

    /**
     * @brief Cancels the inner calls of a run whose answer is no longer needed.
     * @param run The run.
     * @param now Current time.
     */
    void cancelInnerCalls(ExecutionId run, SteadyTime now);

    /**
     * @brief Handles the answer to an attempt; an unexpected one is counted and dropped.
     * @param from The answering daemon.
     * @param answer The answer.
     * @param now Current time.
     */
    void handleAnswer(const DaemonId &from, const protocol::CallAnswer &answer, SteadyTime now);

    /**
     * @brief Handles an attempt that never left this daemon.
     * @param failed The attempt.
     * @param now Current time.
     */
    void handleSendFailed(const SendFailed &failed, SteadyTime now);

    /**
     * @brief Ends all attempts at a daemon whose connection is lost.
     * @param lost The daemon, and if an attempt can have reached it.
     * @param now Current time.
     */
    void handlePeerLost(const PeerLost &lost, SteadyTime now);

    /**
     * @brief Makes due attempts and answers calls past their deadline.
     * @param now Current time.
     */
    void tick(SteadyTime now);

    /**
     * @brief Sets the rules for attempts.
     * @param rules The rules.
     */
    void setRules(const EntryRules &rules)
    {
        m_rules = rules;
    }

    /*! @brief Refuses all new roots from now on; pending calls and the inner calls of runs continue. */
    void drain();

    /**
     * @brief Returns the time at which a pending call next needs handling: an attempt or a deadline.
     * @return The earliest time; empty if no call is pending.
     */
    [[nodiscard]] std::optional<SteadyTime> nextDeadline() const;

    [[nodiscard]] bool isIdle() const noexcept
    {
        return m_pending.empty();
    }

    [[nodiscard]] std::map<std::string, double> retriesLeft() const
    {
        return m_retryBudget.left();
    }

private:
    enum class Phase {
        /*! @brief An attempt is in flight. */
        attempting,
        /*! @brief Waits to make the next attempt; none is in flight. */
        backingOff,
        /*! @brief Forwarded to the owner of the key, which makes the attempts. */
        forwarded,
        /*! @brief Waits for another call with the same key, whose answer also answers this call. */
        joined,
    };

    struct Pending
    {
        Requester requester;
        Phase phase{Phase::attempting};
        retry::KeyKnowledge knowledge{};
        /*! @brief Set if the ledger has the key as running for this call. */
        bool holdsKey{};
        /*! @brief Set if the key was granted by the platform's table rather than minted by this daemon. */
        bool isGranted{};
        /*! @brief Key from which the keys of inner calls are derived. */
        std::string scope;
        int retries{};
        /*! @brief Key for a resend, as returned by the owner. */
        std::string nextKey;
        CallerCall call;
        bool idempotent{};
        Uuid root;
        admission::Rank rank;
        admission::RootCosts rootCosts;
        int depth{};
        /*! @brief Set if the call counts for the quota of its account. */
        bool usesQuota{};
        /*! @brief Set if a backend server may already have received the request. */
        bool isRepeat{};
        /*! @brief Set if the calling run is itself a repeat, which makes each attempt of this call a repeat. */
        bool isCallerRepeat{};
        std::optional<ExecutionId> parent;
        account::TraceContext trace;
        std::string parentSpanId;
        SteadyTime arrived;
        SteadyTime deadline;
        SteadyTime wakeAt;
        int attemptsLeft{};
        Duration slotTime{};
        std::set<DaemonId> tried;
        /*! @brief Combined verdict of the attempts that have ended. */
        Verdict verdict{Verdict::notRun};
        DaemonId server;
        account::TraceContext attemptTrace;
        SteadyTime sentAt;
        int attemptsOut{};
        /*! @brief Backend servers at which the request was lost without an answer. */
        int lostRuns{};
        /*! @brief Set if the call is the trial of its content at this daemon. */
        bool isTrial{};
    };

    using PendingMap = std::map<CallId, Pending>;

    /*! @brief Maximum number of daemons tried by one call while no backend server has received it. */
    static constexpr std::size_t maxMoves = 4;
    /*! @brief Maximum number of backend servers at which one call may be lost; it may be what ends them. */
    static constexpr int maxLostRuns = 2;

    [[nodiscard]] std::optional<std::string> findRequestError(const CallerCall &call, bool isInner) const;
    [[nodiscard]] std::optional<account::Refusal> applyAccount(Pending &pending, const AccountDecision &decision, SteadyTime now);
    void refuseKey(const CallArrived &arrived);
    void answerRequestError(ExchangeId exchange, const CallerCall &call, int status, std::string requestError);
    [[nodiscard]] admission::Suspicion suspicionOf(const Pending &pending, SteadyTime now) const;
    [[nodiscard]] admission::RequestIdentity identityOf(const Pending &pending) const;
    void finishQuarantined(Pending pending, std::chrono::milliseconds retryAfter, SteadyTime now);
    [[nodiscard]] bool beginTrial(Pending &pending);
    void endTrial(const Pending &pending, const CallerAnswer &answer, SteadyTime now);
    [[nodiscard]] std::optional<DaemonId> findTrialServer(const Pending &pending) const;
    void admit(Pending pending, SteadyTime now);
    void findOwner(Pending pending, const std::optional<InnerContext> &inner, SteadyTime now);
    [[nodiscard]] std::optional<retry::RequestKey> keyOf(const Pending &pending, const std::optional<InnerContext> &inner) const;
    [[nodiscard]] retry::KeyLedger &ledgerOf(const Pending &pending);
    void tickGrants(SteadyTime now);
    void shareRetrySlack();
    void handleOwnedKey(Pending pending, const retry::RequestKey &key, SteadyTime now);
    void handleUnownedKey(Pending pending, SteadyTime now);
    void answerFromLedger(Pending pending, const retry::KeyLookup &lookup, SteadyTime now);
    [[nodiscard]] bool inheritAttempts(Pending &pending, const retry::RequestKey &key, std::uint64_t request);
    void beginOwned(Pending pending, std::chrono::milliseconds age, std::uint64_t request, SteadyTime now);
    void forward(Pending pending, const retry::KeyOwner &owner, SteadyTime now);
    void join(Pending pending);
    void handleOwnerAnswer(Pending pending, const protocol::CallAnswer &answer, SteadyTime now);
    void releaseKey(const Pending &pending, CallerAnswer &answer);
    void finishJoined(const std::string &key, const CallerAnswer &answer, SteadyTime now);
    [[nodiscard]] protocol::CallRequest requestOf(const Pending &pending, CallId call, SteadyTime now) const;
    void addPending(CallId call, Pending pending, SteadyTime wakeAt);
    void retryLater(Pending pending, SteadyTime now);
    void resend(Pending pending, SteadyTime now);
    [[nodiscard]] bool mayEndAnotherServer(const Pending &pending, const protocol::CallAnswer &answer, SteadyTime now) const;
    void deliver(const Pending &pending, CallerAnswer answer);
    void recordRefusal(const Pending &pending, const CallerAnswer &answer);
    void recordSpan(const Pending &pending, const CallerAnswer &answer, SteadyTime now);
    [[nodiscard]] std::string innerScope(const InnerContext &inner, const CallerCall &call);
    [[nodiscard]] std::chrono::milliseconds ageOf(SteadyTime now) const;
    [[nodiscard]] Pending begin(const CallArrived &arrived, const manifest::KindSpec &kind, const std::optional<InnerContext> &inner, SteadyTime now);
    void makeAttempt(Pending pending, SteadyTime now);
    void endAttempt(const Pending &pending, const routing::AttemptResult &result, const protocol::CallAnswer *answer, SteadyTime now);
    void noteAnswer(const Pending &pending, const protocol::CallAnswer &answer, SteadyTime now);
    void logEvent(std::string_view event, const Pending &pending, const protocol::CallAnswer &answer, SteadyTime now);
    [[nodiscard]] bool mayMoveOn(const Pending &pending, const protocol::CallAnswer &answer, SteadyTime now) const;
    [[nodiscard]] bool mayTryElsewhere(const Pending &pending, const protocol::CallAnswer &answer, SteadyTime now);
    [[nodiscard]] bool takeRetry(const Pending &pending, const protocol::CallAnswer &answer, SteadyTime now);
    [[nodiscard]] bool mayRetry(const Pending &pending, const protocol::CallAnswer &answer, SteadyTime now);
    void finish(Pending pending, CallerAnswer answer, SteadyTime now);
    void finishRefused(Pending pending, account::Refusal refusal, SteadyTime now);
    void giveUp(PendingMap::iterator found, account::RefusalReason reason, const std::string &rule, SteadyTime now);
    [[nodiscard]] Pending removePending(PendingMap::iterator found);

    CoreContext &m_context;
    ServingHandler &m_serving;
    AccountGate *m_accounts{};
    PendingMap m_pending;
    std::map<ExchangeId, CallId> m_byExchange;
    /*! @brief Calls waiting for another call with the same key, by key. */
    std::map<std::string, std::vector<CallId>> m_joined;
    retry::KeyLedger m_ledger;
    /*! @brief Ledger of keys granted by the platform's table: their ages are wall-clock times, so they expire separately. */
    retry::KeyLedger m_grantedLedger;
    std::unique_ptr<retry::ShardGrants> m_grants;
    SteadyTime m_lastGrants;
    retry::PreferredShards m_preferredShards;
    retry::RatioBudget m_retryBudget;
    EntryRules m_rules;
    std::size_t m_fleetSize{};
    /*! @brief Time at which each pending call needs handling: its next attempt or its deadline. */
    std::set<std::pair<SteadyTime, CallId>> m_wakes;
    /*! @brief Contents that are on trial in a pending call. */
    std::set<admission::RequestFingerprint> m_trials;
    std::uint64_t m_lastCall{};
    bool m_isDraining{};
};

} // namespace egretlatch::decision

#endif
