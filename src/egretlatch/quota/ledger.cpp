#include <egretlatch/quota/ledger.hpp>

#include <algorithm>
#include <utility>

namespace egretlatch::quota
{

namespace internal
{

// Requests admitted before the first reply, which comes within milliseconds.
constexpr std::uint64_t initialAllowance = 2;
// A report is due before its time once this part of the allowance is used.
constexpr std::int64_t reportedFraction = 4;
// Intervals of the reports of an account: while its quota has room, and while it is short and requests are refused.
constexpr std::chrono::milliseconds reportInterval{300};
constexpr std::chrono::milliseconds shortReportInterval{100};
// Added for each daemon, so that the reports of a whole fleet for one account do not occupy its coordinator.
constexpr std::chrono::milliseconds intervalPerDaemon{2};
// A reply takes milliseconds; a coordinator that has not replied by then is lost or cut off.
constexpr std::chrono::milliseconds replyTimeout{250};
// Time after which credit that is not used is returned.
constexpr std::chrono::milliseconds creditRetention{1000};
constexpr std::chrono::milliseconds rateTime{1000};
// Part of its earlier rate that a daemon without a coordinator goes on with. Others may still reach the coordinator and use the whole
// quota there, until the daemons that are cut off count as gone.
constexpr double aloneShareOfRate = 0.3;
constexpr double aloneBurstSeconds = 0.5;
constexpr std::chrono::seconds accountRetention{30};
constexpr std::chrono::milliseconds minRoomIn{100};
// Least time for which a quota counts as short after a reply that says so. After it, one request may come before the next reply.
constexpr std::chrono::milliseconds minShortTime{500};
constexpr std::uint64_t allowanceAfterShort = 1;

} // namespace internal

Admission Ledger::admit(const std::string &account, const FleetShare &share, const SteadyTime now)
{
    const auto [found, isNew] = m_accounts.try_emplace(account);
    Account &entry = found->second;
    if (isNew) {
        entry.allowance = share.daemons == 0 ? internal::allowanceAfterShort : internal::initialAllowance;
        entry.rateSince = now;
    }
    ++entry.asked;
    entry.interval = internal::intervalPerDaemon * static_cast<int>(share.daemons);
    entry.askedAt = now;
    measureRate(entry, now);
    if (take(entry, share, now)) {
        ++entry.admittedSince;
        return {.isAdmitted = true, .roomIn = {}};
    }
    const auto roomIn = std::chrono::ceil<std::chrono::milliseconds>(entry.roomAt - now);
    return {.isAdmitted = false, .roomIn = std::max(roomIn, internal::minRoomIn)};
}

bool Ledger::take(Account &account, const FleetShare &share, const SteadyTime now) const
{
    if (account.credit > 0) {
        --account.credit;
        return true;
    }
    if (isAlone(account, now)) {
        return takeAlone(account, share, now);
    }
    if (now < account.shortUntil || account.unreported >= static_cast<std::int64_t>(account.allowance)) {
        return false;
    }
    ++account.unreported;
    return true;
}

bool Ledger::takeAlone(Account &account, const FleetShare &share, const SteadyTime now) const
{
    if (share.daemons == 0) {
        return false;
    }
    const double part = share.limit.ratePerSecond / static_cast<double>(share.daemons);
    const double rate = internal::aloneShareOfRate * (now < account.shortUntil ? std::min(part, account.rate) : account.rate);
    const double depth = std::max(rate * internal::aloneBurstSeconds, 1.0);
    if (!account.alone.has_value()) {
        account.alone.emplace();
    }
    // Many daemons lose their coordinator at once, so each has to earn its first request.
    account.alone->refill({.ratePerSecond = rate, .burst = depth}, rate * internal::aloneBurstSeconds, now);
    if (account.alone->level() < 1.0) {
        return false;
    }
    account.alone->add(-1.0);
    ++account.unreported;
    return true;
}

void Ledger::measureRate(Account &account, const SteadyTime now) const
{
    const Duration passed = now - account.rateSince;
    if (isAlone(account, now) || passed < internal::rateTime) {
        return;
    }
    account.rate = static_cast<double>(account.admittedSince) / std::chrono::duration<double>(passed).count();
    account.rateSince = now;
    account.admittedSince = 0;
}

void Ledger::giveBack(const std::string &account)
{
    const auto found = m_accounts.find(account);
    if (found != m_accounts.end()) {
        --found->second.unreported;
    }
}

bool Ledger::isAlone(const Account &account, const SteadyTime now)
{
    return account.isWaiting && now - account.waitingSince > internal::replyTimeout;
}

bool Ledger::isDue(const Account &account, const SteadyTime now) const
{
    const Duration since = now - account.reportedAt;
    if (account.isWaiting) {
        return since > internal::replyTimeout;
    }
    const bool returnsCredit = account.credit > 0 && now - account.askedAt > internal::creditRetention;
    if (account.asked == 0 && account.unreported == 0 && !returnsCredit) {
        return false;
    }
    if (now < account.shortUntil) {
        return since >= std::max<Duration>(internal::shortReportInterval, account.interval);
    }
    const bool isAllowanceInUse = account.unreported * internal::reportedFraction >= static_cast<std::int64_t>(account.allowance);
    return isAllowanceInUse || since >= std::max<Duration>(internal::reportInterval, account.interval);
}

std::optional<AccountUse> Ledger::takeReport(const std::string &account, const SteadyTime now)
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end() || !isDue(found->second, now)) {
        return std::nullopt;
    }
    return makeReport(account, found->second, now);
}

std::vector<AccountUse> Ledger::takeReports(const SteadyTime now)
{
    std::vector<AccountUse> uses;
    for (auto &[name, account] : m_accounts) {
        if (isDue(account, now)) {
            uses.push_back(makeReport(name, account, now));
        }
    }
    return uses;
}

AccountUse Ledger::makeReport(const std::string &name, Account &account, const SteadyTime now)
{
    if (account.isWaiting) {
        // The report or its reply was lost. Counted again, requests may count twice, but never not at all.
        account.unreported += account.sent.used;
    } else {
        account.waitingSince = now;
    }
    AccountUse use{.account = name, .used = account.unreported, .asked = account.asked, .returned = 0};
    if (account.credit > 0 && now - account.askedAt > internal::creditRetention) {
        use.returned = std::exchange(account.credit, 0);
    }
    account.unreported = 0;
    account.asked = 0;
    account.sent = use;
    account.isWaiting = true;
    account.reportedAt = now;
    return use;
}

void Ledger::noteSent(const std::string &account, const std::uint64_t sequence)
{
    const auto found = m_accounts.find(account);
    if (found != m_accounts.end()) {
        found->second.sequence = sequence;
    }
}

void Ledger::handle(const AccountGrant &grant, const std::uint64_t sequence, const SteadyTime now)
{
    const bool isNotice = sequence == 0;
    const auto found = m_accounts.find(grant.account);
    if (isNotice) {
        Account &account = m_accounts[grant.account];
        account.allowance = internal::allowanceAfterShort;
        account.roomAt = now + grant.roomIn;
        account.shortUntil = now + std::max(grant.roomIn, internal::minShortTime);
        account.askedAt = std::max(account.askedAt, now);
        return;
    }
    // Each reply counts once, and only for the report that waits for it: credit must not be taken twice.
    if (found == m_accounts.end() || !found->second.isWaiting || found->second.sequence != sequence) {
        return;
    }
    Account &account = found->second;
    account.isWaiting = false;
    account.alone.reset();
    account.sent = {};
    account.credit += grant.credit;
    account.allowance = grant.isShort ? internal::allowanceAfterShort : grant.allowance;
    account.roomAt = now + grant.roomIn;
    account.shortUntil = grant.isShort ? now + std::max(grant.roomIn, internal::minShortTime) : SteadyTime{};
}

void Ledger::handleFleetChanged(const SteadyTime now)
{
    for (auto &[name, account] : m_accounts) {
        if (account.isWaiting) {
            account.reportedAt = std::min(account.reportedAt, now - internal::replyTimeout - Duration{1});
        }
    }
}

void Ledger::tick(const SteadyTime now)
{
    std::erase_if(m_accounts, [now](const auto &entry) {
        return now - entry.second.askedAt > internal::accountRetention && entry.second.unreported == 0 && !entry.second.isWaiting;
    });
}

std::size_t Ledger::countShort(const SteadyTime now) const
{
    return static_cast<std::size_t>(std::count_if(m_accounts.begin(), m_accounts.end(), [now](const auto &entry) {
        return now < entry.second.shortUntil;
    }));
}

} // namespace egretlatch::quota
