#include <egretlatch/quota/coordinator.hpp>

#include <algorithm>
#include <cmath>

namespace egretlatch::quota
{

namespace internal
{

// Part of the burst that the bucket holds; the rest is spread over the window.
constexpr double burstShareInBucket = 0.3;
// Parts of the amount by which a window may exceed the quota: those added to the bucket and to its rate, so that requests below the
// quota are not refused for the times at which they are counted, and the one with which an unknown account starts. The rest covers
// requests that are reported after they were admitted.
constexpr double excessShareInBucket = 0.1;
constexpr double excessShareInRate = 0.2;
constexpr double initialShareOfExcess = 0.1;
// Level below which a quota is short, as a share of the bucket.
constexpr double shortShareOfBucket = 0.1;
// Part of the level above that which one daemon may use before its next report, at most.
constexpr double allowedShareOfLevel = 0.5;
// Calls of one account come in clusters, several at one daemon before a reply.
constexpr double minAllowance = 4.0;
// Credit covers the demand of a daemon until its next report.
constexpr double minCreditSeconds = 0.3;
constexpr double creditSecondsPerReporter = 0.003;
// Debt above which all daemons are told, as a share of the amount by which a window may exceed the quota.
constexpr double noticeShareOfExcess = 0.15;
constexpr std::chrono::milliseconds noticeInterval{1000};
// Shortest time over which the demand of a daemon is measured.
constexpr std::chrono::milliseconds minDemandTime{100};
constexpr std::chrono::milliseconds reporterRetention{2000};
constexpr std::chrono::seconds accountRetention{60};
constexpr std::chrono::milliseconds minRoomIn{100};
constexpr std::chrono::milliseconds maxRoomIn{10'000};

[[nodiscard]] static std::chrono::milliseconds timeUntilRoom(const double level, const Limit &limit)
{
    constexpr double millisecondsInSecond = 1000.0;
    const double milliseconds = (1.0 - level) / std::max(limit.ratePerSecond, 1e-6) * millisecondsInSecond;
    return std::chrono::milliseconds{
        static_cast<std::int64_t>(std::clamp(std::ceil(milliseconds), static_cast<double>(minRoomIn.count()), static_cast<double>(maxRoomIn.count())))};
}

} // namespace internal

AccountGrant Coordinator::handle(const DaemonId &from, const AccountUse &use, const Limit &limit, const SteadyTime now)
{
    const Limit bucket = bucketOf(limit);
    Account &account = m_accounts[use.account];
    account.reportedAt = now;
    account.bucket.refill(bucket, m_rules.excess(limit) * internal::initialShareOfExcess, now);
    account.bucket.add(static_cast<double>(use.returned) - static_cast<double>(use.used));
    const double portion = noteDemand(account, from, use, now);
    const double level = account.bucket.level();
    account.isIndebted = level < -m_rules.excess(limit) * internal::noticeShareOfExcess;
    const double shortLevel = std::max(bucket.burst * internal::shortShareOfBucket, 1.0);
    AccountGrant grant{.account = use.account};
    grant.isShort = level < shortLevel;
    if (!grant.isShort) {
        grant.allowance = static_cast<std::uint64_t>(std::max((level - shortLevel) * portion * internal::allowedShareOfLevel, internal::minAllowance));
        return grant;
    }
    if (level < 1.0) {
        grant.roomIn = internal::timeUntilRoom(level, bucket);
        return grant;
    }
    if (use.asked > 0) {
        const double reporters = static_cast<double>(account.reporters.size());
        const double seconds = std::max(internal::minCreditSeconds, reporters * internal::creditSecondsPerReporter);
        const double needed = std::ceil(account.reporters[from].demand * seconds);
        grant.credit = static_cast<std::uint64_t>(std::clamp(std::floor(level * portion), 1.0, std::max(needed, 1.0)));
        account.bucket.add(-static_cast<double>(grant.credit));
    }
    return grant;
}

Limit Coordinator::bucketOf(const Limit &limit) const
{
    const double excess = m_rules.excess(limit);
    const double spread = limit.burst * (1.0 - internal::burstShareInBucket) + excess * internal::excessShareInRate;
    const double inBucket = limit.burst * internal::burstShareInBucket + excess * internal::excessShareInBucket;
    return {.ratePerSecond = limit.ratePerSecond + spread / std::chrono::duration<double>(m_rules.window).count(), .burst = std::max(inBucket, 1.0)};
}

double Coordinator::noteDemand(Account &account, const DaemonId &from, const AccountUse &use, const SteadyTime now) const
{
    std::erase_if(account.reporters, [now](const auto &entry) {
        return now - entry.second.reportedAt > internal::reporterRetention;
    });
    const auto found = account.reporters.find(from);
    const Duration since = found == account.reporters.end() ? Duration{internal::minDemandTime} : now - found->second.reportedAt;
    const double seconds = std::chrono::duration<double>(std::max<Duration>(since, internal::minDemandTime)).count();
    account.reporters[from] = {.demand = static_cast<double>(use.asked) / seconds, .reportedAt = now};
    double total = 0.0;
    for (const auto &[daemon, reporter] : account.reporters) {
        total += reporter.demand;
    }
    return total > 0.0 ? account.reporters[from].demand / total : 0.0;
}

bool Coordinator::takeNotice(const std::string &account, const SteadyTime now)
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end() || !found->second.isIndebted || now - found->second.noticedAt < internal::noticeInterval) {
        return false;
    }
    found->second.noticedAt = now;
    return true;
}

void Coordinator::tick(const SteadyTime now)
{
    std::erase_if(m_accounts, [now](const auto &entry) {
        return now - entry.second.reportedAt > internal::accountRetention;
    });
}

} // namespace egretlatch::quota
