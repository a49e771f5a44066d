#ifndef EGRETLATCH_QUOTA_MESSAGES_HPP
#define EGRETLATCH_QUOTA_MESSAGES_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace egretlatch::quota
{

/*! @brief Use of one account's quota at one daemon since its last report. */
struct AccountUse
{
    std::string account;
    /*! @brief Requests admitted without credit, less those that proved not to have run; may be negative. */
    std::int64_t used{};
    /*! @brief Requests that came, admitted or not. */
    std::uint64_t asked{};
    /*! @brief Credit that is returned unused. */
    std::uint64_t returned{};

    friend bool operator==(const AccountUse &, const AccountUse &) = default;
};

/*! @brief Report of a daemon to the coordinator of the accounts. */
struct UseReport
{
    /*! @brief Number of the report, which its reply carries. */
    std::uint64_t sequence{};
    std::vector<AccountUse> uses;

    friend bool operator==(const UseReport &, const UseReport &) = default;
};

/*! @brief State of one account's quota, as told to a daemon. */
struct AccountGrant
{
    std::string account;
    /*! @brief Requests that the daemon may admit; already deducted from the quota, so that they exist in one place only. */
    std::uint64_t credit{};
    /*! @brief Requests that the daemon may admit before its next report, to be deducted then; zero while the quota is short. */
    std::uint64_t allowance{};
    /*! @brief Set while little of the quota is left, so that only credit admits. */
    bool isShort{};
    /*! @brief Time until the quota has room again; zero while it has. */
    std::chrono::milliseconds roomIn{};

    friend bool operator==(const AccountGrant &, const AccountGrant &) = default;
};

/*! @brief Reply to a UseReport, or a notice that nobody asked for. */
struct GrantReply
{
    /*! @brief Number of the report; zero for a notice, which grants nothing. */
    std::uint64_t sequence{};
    std::vector<AccountGrant> grants;

    friend bool operator==(const GrantReply &, const GrantReply &) = default;
};

} // namespace egretlatch::quota

#endif
