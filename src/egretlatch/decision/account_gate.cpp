#include <egretlatch/decision/account_gate.hpp>

#include <egretlatch/admission/rank.hpp>

namespace egretlatch::decision
{

namespace internal
{

// A newer configuration, or a proof that there is none, arrives within about a second.
constexpr std::chrono::milliseconds retryAfterProof{500};
// A server stops a run within half a second after its connection was closed; until then it may make further calls.
constexpr std::chrono::seconds maxRunAfterEnd{2};
// Runs that a server began before this daemon started end by their deadlines.
constexpr std::chrono::seconds maxRunFromBefore{10};
// Time for which an overload counts as present after a refusal.
constexpr std::chrono::milliseconds overloadTime{1500};
constexpr std::chrono::milliseconds contactInterval{1500};
constexpr int highestPriority = 9;
constexpr int prioritySteps = 10;
// Part of the roots of each account that ranks like those of the most important accounts.
constexpr double assuredShare = 0.35;
// Spreads the callers that are refused at the same time.
constexpr std::chrono::milliseconds quotaRetrySpread{500};

} // namespace internal

AccountGate::AccountGate(CoreContext &context, const ServingHandler &serving, const configuration::Follower &configuration, const AccountRules &rules)
    : m_context{context}
    , m_serving{serving}
    , m_configuration{configuration}
    , m_rules{rules}
    , m_quotas{context, rules.quota}
{
}

AccountDecision AccountGate::check(const CallerCall &call, const manifest::KindSpec &kind, const bool isInner, const SteadyTime now)
{
    if (m_context.manifest->accounts().empty() || kind.isPublic) {
        return {};
    }
    if (call.apiKeyDigest.empty()) {
        m_areRunsNamed = m_areRunsNamed || isInner;
        return isInner ? AccountDecision{} : checkWithoutKey(now);
    }
    const std::optional<Duration> age = m_configuration.proofAge(m_context.clock.bootNow());
    if (m_rules.maxAgeForKeys.has_value() && (!age.has_value() || *age > *m_rules.maxAgeForKeys)) {
        return {.account = nullptr, .refusal = refuseUnproven("no proof that the API keys known here are current", age), .isUnauthorized = false};
    }
    const manifest::AccountSpec *const account = m_context.manifest->findAccountByKey(call.apiKeyDigest);
    return account == nullptr ? checkUnknownKey(now) : AccountDecision{.account = account, .refusal = {}, .isUnauthorized = false};
}

AccountDecision AccountGate::checkWithoutKey(const SteadyTime now)
{
    if (m_serving.hasRuns() && !m_areRunsNamed) {
        return {};
    }
    // The run that makes the call may have been given up here, or belong to an earlier incarnation of this daemon.
    const bool hasEndedLately = m_serving.hasRuns() || now - m_serving.lastRunEnd() < internal::maxRunAfterEnd;
    if (hasEndedLately || now - m_context.startedAt < internal::maxRunFromBefore) {
        const std::string rule = "a call without an API key, of no run that this daemon knows";
        return {.account = nullptr,
                .refusal = m_context.refuse(account::RefusalReason::configurationUnproven, rule, {}, internal::retryAfterProof),
                .isUnauthorized = false};
    }
    return {.account = nullptr, .refusal = {}, .isUnauthorized = true};
}

AccountDecision AccountGate::checkUnknownKey(const SteadyTime now)
{
    std::optional<Duration> age = m_configuration.proofAge(m_context.clock.bootNow());
    if (!m_rules.maxAgeForKeys.has_value() && !age.has_value()) {
        age = m_configuration.confirmationAge(now);
    }
    if (!age.has_value() || *age > m_rules.maxAgeForUnknownKeys) {
        return {.account = nullptr, .refusal = refuseUnproven("an unknown API key, which a newer configuration may hold", age), .isUnauthorized = false};
    }
    return {.account = nullptr, .refusal = {}, .isUnauthorized = true};
}

std::optional<account::Refusal> AccountGate::checkQuota(const manifest::AccountSpec &account, const Uuid &root, const SteadyTime now)
{
    const quota::Admission admission = m_quotas.admit(account, now);
    if (admission.isAdmitted) {
        return std::nullopt;
    }
    const auto spread = std::chrono::duration_cast<std::chrono::milliseconds>(admission::hashFraction(root) * internal::quotaRetrySpread);
    return m_context.refuse(account::RefusalReason::overQuota,
                            "the client account has used up its quota",
                            {{.name = "ratePerSecond", .value = account.ratePerSecond},
                             {.name = "burst", .value = account.burst},
                             {.name = "roomInMs", .value = static_cast<double>(admission.roomIn.count())}},
                            admission.roomIn + spread);
}

int AccountGate::priorityOf(const manifest::AccountSpec *const account, const int kindPriority, const Uuid &root) const
{
    if (m_context.manifest->accounts().empty()) {
        return kindPriority;
    }
    const bool isAssured = admission::hashFraction(root) >= 1.0 - internal::assuredShare;
    int first = account == nullptr ? kindPriority : account->priority.value_or(kindPriority);
    if (account != nullptr && isAssured) {
        first = internal::highestPriority;
    }
    if (account != nullptr && ranksLast()) {
        first = 0;
    }
    return first * internal::prioritySteps + kindPriority;
}

void AccountGate::noteStoreContact()
{
    m_storeContactAt = m_context.clock.bootNow();
}

void AccountGate::noteOverload()
{
    m_overloadAt = m_context.clock.bootNow();
}

bool AccountGate::needsStoreContact() const
{
    const bool hasAccounts = m_context.manifest != nullptr && !m_context.manifest->accounts().empty();
    if (!hasAccounts || !m_rules.maxTimeWithoutStore.has_value() || !m_overloadAt.has_value()) {
        return false;
    }
    const BootTime now = m_context.clock.bootNow();
    const bool isOverloaded = now - *m_overloadAt <= internal::overloadTime;
    return isOverloaded && (!m_storeContactAt.has_value() || now - *m_storeContactAt > internal::contactInterval);
}

bool AccountGate::ranksLast() const
{
    if (!m_rules.maxTimeWithoutStore.has_value() || !m_overloadAt.has_value()) {
        return false;
    }
    const BootTime now = m_context.clock.bootNow();
    const bool isOverloaded = now - *m_overloadAt <= internal::overloadTime;
    const bool hasContact = m_storeContactAt.has_value() && now - *m_storeContactAt <= *m_rules.maxTimeWithoutStore;
    // Without any daemon that reaches the store, proofs age everywhere, and no call goes before another for that.
    const std::optional<Duration> age = m_configuration.proofAge(now);
    return isOverloaded && !hasContact && age.has_value() && *age <= *m_rules.maxTimeWithoutStore;
}

account::Refusal AccountGate::refuseUnproven(const std::string &rule, const std::optional<Duration> age)
{
    const double ageMs = age.has_value() ? std::chrono::duration<double, std::milli>(*age).count() : -1.0;
    return m_context.refuse(account::RefusalReason::configurationUnproven, rule, {{.name = "provenAgeMs", .value = ageMs}}, internal::retryAfterProof);
}

} // namespace egretlatch::decision
