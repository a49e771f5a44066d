#ifndef EGRETLATCH_DECISION_QUOTA_HANDLER_HPP
#define EGRETLATCH_DECISION_QUOTA_HANDLER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <egretlatch/decision/core_context.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/manifest/account_spec.hpp>
#include <egretlatch/quota/coordinator.hpp>
#include <egretlatch/quota/fleet_view.hpp>
#include <egretlatch/quota/ledger.hpp>

namespace egretlatch::decision
{

/*! @brief Applies the quotas of client accounts, and exchanges reports on them with other daemons. */
class QuotaHandler
{
public:
    /**
     * @brief Builds a handler.
     * @param context State shared with the rest of the core; must outlive the handler.
     * @param rules Amount by which the requests of a window may exceed a quota.
     */
    QuotaHandler(CoreContext &context, const quota::Rules &rules);

    /**
     * @brief Decides on a request.
     * @param account Its account.
     * @param now Current time.
     * @return The decision; an admitted request counts as used until giveBack().
     */
    [[nodiscard]] quota::Admission admit(const manifest::AccountSpec &account, SteadyTime now);

    /**
     * @brief Gives back a request that was admitted and has not run.
     * @param account Name of its account.
     */
    void giveBack(const std::string &account)
    {
        m_ledger.giveBack(account);
    }

    /**
     * @brief Handles a report of a daemon on accounts that this one coordinates.
     * @param from The daemon.
     * @param report The report.
     * @param now Current time.
     */
    void handleReport(const DaemonId &from, const quota::UseReport &report, SteadyTime now);

    /**
     * @brief Handles a reply or a notice of a coordinator.
     * @param reply The reply.
     * @param now Current time.
     */
    void handleReply(const quota::GrantReply &reply, SteadyTime now);

    /**
     * @brief Handles a connection that ended, or could not be opened.
     * @param lost The daemon, and whether it was connected.
     * @param now Current time.
     */
    void handlePeerLost(const PeerLost &lost, SteadyTime now);

    /**
     * @brief Follows the membership, sends the reports that are due and discards what is old.
     * @param now Current time.
     */
    void tick(SteadyTime now);

    [[nodiscard]] std::size_t countShort() const
    {
        return m_ledger.countShort(m_context.clock.steadyNow());
    }

private:
    void followMembers(SteadyTime now);
    void sendReports(std::vector<quota::AccountUse> uses, SteadyTime now);
    void send(const DaemonId &to, protocol::Message message);
    void sendNotice(const quota::AccountGrant &grant);

    CoreContext &m_context;
    quota::Ledger m_ledger;
    quota::Coordinator m_coordinator;
    quota::FleetView m_fleet;
    std::optional<std::uint64_t> m_rosterVersion;
    std::uint64_t m_lastReport{};
};

} // namespace egretlatch::decision

#endif
