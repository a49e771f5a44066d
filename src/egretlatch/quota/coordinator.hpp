#ifndef EGRETLATCH_QUOTA_COORDINATOR_HPP
#define EGRETLATCH_QUOTA_COORDINATOR_HPP

#include <map>
#include <string>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/quota/limit.hpp>
#include <egretlatch/quota/messages.hpp>
#include <egretlatch/quota/token_bucket.hpp>

namespace egretlatch::quota
{

/**
 * @brief Keeps the quotas of the accounts that one daemon coordinates.
 *
 * While much of a quota is left, daemons admit requests first and report them afterwards, so that no request waits and a low
 * quota need not be divided among hundreds of daemons. While little is left, they admit only requests for which they hold
 * credit, which is deducted when it is handed out, in proportion to the demand of each.
 *
 * What a quota allows in a window is handed out by a token bucket that holds a part of the burst and fills faster than the rate by
 * the rest of it: an account that steadily asks for all that a window allows is served, and a burst after a quiet time still is.
 *
 * Nothing is kept when a coordinator ends. Its successor starts with a bucket that is nearly empty, so a change of the coordinator
 * keeps the bound of the window.
 */
class Coordinator
{
public:
    /**
     * @brief Builds a coordinator that knows no account.
     * @param rules Amount by which the requests of a window may exceed a quota.
     */
    explicit Coordinator(const Rules &rules)
        : m_rules{rules}
    {
    }

    /**
     * @brief Handles a daemon's report for one account.
     * @param from The daemon.
     * @param use Its use.
     * @param limit Quota of the account that is handed out here.
     * @param now Current time.
     * @return The state of the quota for that daemon.
     */
    [[nodiscard]] AccountGrant handle(const DaemonId &from, const AccountUse &use, const Limit &limit, SteadyTime now);

    /**
     * @brief Checks whether all daemons are to be told that a quota is short, since those that have not reported go on admitting.
     * @param account Name of the account.
     * @param now Current time.
     * @return True once while the debt of the account is large.
     */
    [[nodiscard]] bool takeNotice(const std::string &account, SteadyTime now);

    /**
     * @brief Discards accounts without recent reports.
     * @param now Current time.
     */
    void tick(SteadyTime now);

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_accounts.size();
    }

private:
    struct Reporter
    {
        /*! @brief Requests per second, as lately reported. */
        double demand{};
        SteadyTime reportedAt;
    };

    struct Account
    {
        TokenBucket bucket;
        std::map<DaemonId, Reporter> reporters;
        SteadyTime reportedAt;
        SteadyTime noticedAt;
        bool isIndebted{};
    };

    [[nodiscard]] Limit bucketOf(const Limit &limit) const;
    [[nodiscard]] double noteDemand(Account &account, const DaemonId &from, const AccountUse &use, SteadyTime now) const;

    Rules m_rules;
    std::map<std::string, Account> m_accounts;
};

} // namespace egretlatch::quota

#endif
