#ifndef EGRETLATCH_DECISION_ACCOUNT_GATE_HPP
#define EGRETLATCH_DECISION_ACCOUNT_GATE_HPP

#include <optional>
#include <string>

#include <egretlatch/configuration/follower.hpp>
#include <egretlatch/decision/account_rules.hpp>
#include <egretlatch/decision/core_context.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/decision/quota_handler.hpp>
#include <egretlatch/decision/serving_handler.hpp>

namespace egretlatch::decision
{

/*! @brief Account of a call, or the reason for which it is not admitted. */
struct AccountDecision
{
    /*! @brief Account that the call counts for; null for none. Valid as long as the configuration is in force. */
    const manifest::AccountSpec *account{};
    std::optional<account::Refusal> refusal;
    /*! @brief Set if the call has no valid key, and no later attempt with the same key would have one. */
    bool isUnauthorized{};
};

/**
 * @brief Decides by API key and quota whether a call may enter.
 *
 * A key counts only while the configuration in force is proven to be recent: a daemon that is cut off or stood still would
 * otherwise admit a key that has been withdrawn. Calls that a backend server makes while it runs a request carry no key; they are
 * recognized by the run in progress on this VM, not by what they say of themselves.
 */
class AccountGate
{
public:
    /**
     * @brief Builds a gate.
     * @param context State shared with the rest of the core; must outlive the gate.
     * @param serving Handler of the runs on this VM; must outlive the gate.
     * @param configuration Follower that proves the age of the configuration; must outlive the gate.
     * @param rules Rules for calls of client accounts.
     */
    AccountGate(CoreContext &context, const ServingHandler &serving, const configuration::Follower &configuration, const AccountRules &rules);

    /**
     * @brief Finds the account of a call.
     * @param call The call.
     * @param kind Its kind.
     * @param isInner Set if it is known to be made by a run on this VM.
     * @param now Current time.
     * @return The account or the refusal; neither for a call that needs no account.
     */
    [[nodiscard]] AccountDecision check(const CallerCall &call, const manifest::KindSpec &kind, bool isInner, SteadyTime now);

    /**
     * @brief Decides on a call by the quota of its account.
     * @param account The account.
     * @param root Root of the call, which spreads the times at which refused callers come back.
     * @param now Current time.
     * @return The refusal, or nothing if the call is admitted.
     */
    [[nodiscard]] std::optional<account::Refusal> checkQuota(const manifest::AccountSpec &account, const Uuid &root, SteadyTime now);

    /**
     * @brief Returns the priority of a root.
     *
     * The priority of the account goes before that of the kind, which orders the calls of accounts of one priority. A part of the roots of
     * each account ranks like those of the most important accounts, so that no account is shut out in a long overload.
     * @param account Its account; null for none.
     * @param kindPriority Priority of its kind, 0 to 9.
     * @param root The root, which decides whether it belongs to that part.
     * @return The priority, 0 to 99; that of the kind if there are no accounts.
     */
    [[nodiscard]] int priorityOf(const manifest::AccountSpec *account, int kindPriority, const Uuid &root) const;

    /*! @brief Records an answer of the store. */
    void noteStoreContact();

    /*! @brief Records that a root was refused for lack of room. */
    void noteOverload();

    /**
     * @brief Checks whether this daemon should find out if it reaches the store.
     *
     * Only in an overload, as only then it matters: a read a second by each daemon is a load on the store.
     */
    [[nodiscard]] bool needsStoreContact() const;

    /**
     * @brief Checks whether calls with keys that enter here rank last.
     *
     * A daemon that has lost the store knows at second hand that keys are current, and only for a while. In an overload, calls whose
     * keys are known at first hand go before.
     */
    [[nodiscard]] bool ranksLast() const;

    [[nodiscard]] QuotaHandler &quotas() noexcept
    {
        return m_quotas;
    }

    [[nodiscard]] const QuotaHandler &quotas() const noexcept
    {
        return m_quotas;
    }

private:
    [[nodiscard]] AccountDecision checkWithoutKey(SteadyTime now);
    [[nodiscard]] AccountDecision checkUnknownKey(SteadyTime now);
    [[nodiscard]] account::Refusal refuseUnproven(const std::string &rule, std::optional<Duration> age);

    CoreContext &m_context;
    const ServingHandler &m_serving;
    const configuration::Follower &m_configuration;
    AccountRules m_rules;
    QuotaHandler m_quotas;
    std::optional<BootTime> m_storeContactAt;
    std::optional<BootTime> m_overloadAt;
    /*! @brief Set once a call of the backend server has named the run that makes it; all its calls do then. */
    bool m_areRunsNamed{};
};

} // namespace egretlatch::decision

#endif
