#include <egretlatch/decision/quota_handler.hpp>

#include <algorithm>

namespace egretlatch::decision
{

namespace internal
{

[[nodiscard]] static quota::Limit limitOf(const manifest::AccountSpec &account)
{
    return {.ratePerSecond = account.ratePerSecond, .burst = account.burst};
}

// Suspects are left out: each daemon in contact has to choose the same coordinator, and one that answers.
[[nodiscard]] static bool mayCoordinate(const membership::Member &member)
{
    return member.state == membership::MemberState::idle || member.state == membership::MemberState::serving;
}

} // namespace internal

QuotaHandler::QuotaHandler(CoreContext &context, const quota::Rules &rules)
    : m_context{context}
    , m_coordinator{rules}
{
}

quota::Admission QuotaHandler::admit(const manifest::AccountSpec &account, const SteadyTime now)
{
    if (account.ratePerSecond <= 0.0) {
        return {.isAdmitted = true, .roomIn = {}};
    }
    followMembers(now);
    const quota::FleetShare share{.limit = internal::limitOf(account), .daemons = m_fleet.isSettled(now) ? m_fleet.largestSize(now) : 0};
    const quota::Admission admission = m_ledger.admit(account.name, share, now);
    if (std::optional<quota::AccountUse> use = m_ledger.takeReport(account.name, now)) {
        sendReports({std::move(*use)}, now);
    }
    return admission;
}

void QuotaHandler::handleReport(const DaemonId &from, const quota::UseReport &report, const SteadyTime now)
{
    followMembers(now);
    if (!m_fleet.isSettled(now)) {
        return;
    }
    const double share = m_fleet.share(now);
    quota::GrantReply reply{.sequence = report.sequence, .grants = {}};
    for (const quota::AccountUse &use : report.uses) {
        const manifest::AccountSpec *const account = m_context.manifest == nullptr ? nullptr : m_context.manifest->findAccount(use.account);
        if (account == nullptr) {
            m_context.metrics.count("messages_dropped", "unknown-account");
            continue;
        }
        const quota::Limit limit{.ratePerSecond = account->ratePerSecond * share, .burst = account->burst * share};
        reply.grants.push_back(m_coordinator.handle(from, use, limit, now));
        if (m_coordinator.takeNotice(use.account, now)) {
            sendNotice(reply.grants.back());
        }
    }
    if (!reply.grants.empty()) {
        send(from, std::move(reply));
    }
}

void QuotaHandler::sendNotice(const quota::AccountGrant &grant)
{
    m_context.metrics.count("quota", "short-notice");
    const quota::GrantReply notice{.sequence = 0, .grants = {{.account = grant.account, .credit = 0, .allowance = 0, .isShort = true, .roomIn = grant.roomIn}}};
    for (const DaemonId &member : m_fleet.members()) {
        send(member, notice);
    }
}

void QuotaHandler::handleReply(const quota::GrantReply &reply, const SteadyTime now)
{
    for (const quota::AccountGrant &grant : reply.grants) {
        m_ledger.handle(grant, reply.sequence, now);
    }
}

void QuotaHandler::sendReports(std::vector<quota::AccountUse> uses, const SteadyTime now)
{
    std::map<DaemonId, quota::UseReport> reports;
    for (quota::AccountUse &use : uses) {
        const auto [found, isNew] = reports.try_emplace(m_fleet.coordinatorOf(use.account, now));
        if (isNew) {
            found->second.sequence = ++m_lastReport;
        }
        m_ledger.noteSent(use.account, found->second.sequence);
        found->second.uses.push_back(std::move(use));
    }
    for (auto &[coordinator, report] : reports) {
        send(coordinator, std::move(report));
    }
}

void QuotaHandler::handlePeerLost(const PeerLost &lost, const SteadyTime now)
{
    // After an established connection was lost, the report is sent again, which shows whether the daemon has ended.
    if (!lost.wasConnected) {
        m_fleet.noteUnreachable(lost.daemon, now);
    }
    m_ledger.handleFleetChanged(now);
}

void QuotaHandler::tick(const SteadyTime now)
{
    followMembers(now);
    sendReports(m_ledger.takeReports(now), now);
    m_ledger.tick(now);
    m_coordinator.tick(now);
}

void QuotaHandler::followMembers(const SteadyTime now)
{
    if (m_rosterVersion == m_context.roster.version()) {
        return;
    }
    m_rosterVersion = m_context.roster.version();
    std::vector<DaemonId> members{m_context.self};
    for (const DaemonId &id : m_context.roster.participants()) {
        if (internal::mayCoordinate(*m_context.roster.find(id))) {
            members.push_back(id);
        }
    }
    std::sort(members.begin(), members.end());
    m_fleet.setMembers(std::move(members), now);
    m_ledger.handleFleetChanged(now);
}

void QuotaHandler::send(const DaemonId &to, protocol::Message message)
{
    const membership::Member *const member = m_context.roster.find(to);
    m_context.actions.emplace_back(SendToPeer{.to = to, .endpoint = member == nullptr ? std::string{} : member->endpoint, .message = std::move(message)});
}

} // namespace egretlatch::decision
