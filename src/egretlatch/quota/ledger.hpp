#ifndef EGRETLATCH_QUOTA_LEDGER_HPP
#define EGRETLATCH_QUOTA_LEDGER_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/quota/limit.hpp>
#include <egretlatch/quota/messages.hpp>
#include <egretlatch/quota/token_bucket.hpp>

namespace egretlatch::quota
{

/*! @brief Decision on one request by the quota of its account. */
struct Admission
{
    bool isAdmitted{};
    /*! @brief Time until the quota is expected to have room, for a request that is not admitted. */
    std::chrono::milliseconds roomIn{};

    friend bool operator==(const Admission &, const Admission &) = default;
};

/*! @brief Quota of an account and the part of the fleet that shares it, at the time of a request. */
struct FleetShare
{
    Limit limit;
    /*! @brief Daemons of the fleet; zero while this one has just started and knows no others. */
    std::size_t daemons{1};

    friend bool operator==(const FleetShare &, const FleetShare &) = default;
};

/*! @brief Decides at one daemon which requests the quotas of their accounts admit; no request waits for another daemon. */
class Ledger
{
public:
    /**
     * @brief Decides on a request.
     * @param account Name of its account.
     * @param share Quota of the account.
     * @param now Current time.
     * @return The decision; an admitted request counts as used until giveBack().
     */
    [[nodiscard]] Admission admit(const std::string &account, const FleetShare &share, SteadyTime now);

    /**
     * @brief Gives back a request that was admitted and has not run.
     * @param account Name of its account.
     */
    void giveBack(const std::string &account);

    /**
     * @brief Returns the report of one account if it is due.
     * @param account Name of the account.
     * @param now Current time.
     * @return The report, which then waits for its reply; nothing if none is due.
     */
    [[nodiscard]] std::optional<AccountUse> takeReport(const std::string &account, SteadyTime now);

    /**
     * @brief Returns the reports that are due.
     * @param now Current time.
     * @return The accounts that need one; each waits for its reply.
     */
    [[nodiscard]] std::vector<AccountUse> takeReports(SteadyTime now);

    /**
     * @brief Records that an account's report has been sent.
     * @param account Name of the account.
     * @param sequence Number of the report.
     */
    void noteSent(const std::string &account, std::uint64_t sequence);

    /**
     * @brief Handles the state of a quota.
     * @param grant The state.
     * @param sequence Number of the report that it replies to; zero for a notice.
     * @param now Current time.
     */
    void handle(const AccountGrant &grant, std::uint64_t sequence, SteadyTime now);

    /**
     * @brief Records that the coordinators may have changed: reports without a reply are repeated.
     * @param now Current time.
     */
    void handleFleetChanged(SteadyTime now);

    /**
     * @brief Discards accounts without recent requests.
     * @param now Current time.
     */
    void tick(SteadyTime now);

    /*! @brief Counts the accounts whose quota is short. */
    [[nodiscard]] std::size_t countShort(SteadyTime now) const;

private:
    struct Account
    {
        std::uint64_t credit{};
        std::uint64_t allowance{};
        std::int64_t unreported{};
        std::uint64_t asked{};
        /*! @brief Content of the report without a reply. */
        AccountUse sent;
        std::uint64_t sequence{};
        bool isWaiting{};
        /*! @brief Time of the first report since the last reply. */
        SteadyTime waitingSince;
        /*! @brief Time until which the quota counts as short. */
        SteadyTime shortUntil;
        SteadyTime roomAt;
        SteadyTime reportedAt;
        /*! @brief Shortest interval of its reports that suits the size of the fleet. */
        Duration interval{};
        SteadyTime askedAt;
        /*! @brief Requests admitted per second, as last measured while the coordinator replied. */
        double rate{};
        SteadyTime rateSince;
        std::uint64_t admittedSince{};
        /*! @brief Bounds what is admitted while the coordinator does not reply. */
        std::optional<TokenBucket> alone;
    };

    [[nodiscard]] bool take(Account &account, const FleetShare &share, SteadyTime now) const;
    [[nodiscard]] bool takeAlone(Account &account, const FleetShare &share, SteadyTime now) const;
    [[nodiscard]] static AccountUse makeReport(const std::string &name, Account &account, SteadyTime now);
    [[nodiscard]] bool isDue(const Account &account, SteadyTime now) const;
    [[nodiscard]] static bool isAlone(const Account &account, SteadyTime now);
    void measureRate(Account &account, SteadyTime now) const;

    std::map<std::string, Account> m_accounts;
};

} // namespace egretlatch::quota

#endif
