#ifndef EGRETLATCH_QUOTA_FLEET_VIEW_HPP
#define EGRETLATCH_QUOTA_FLEET_VIEW_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>

namespace egretlatch::quota
{

/**
 * @brief Daemons that one daemon sees, as far as quotas depend on them: the coordinator of each account, and the share of the
 * fleet that is in contact.
 *
 * Two groups of daemons that are cut off from each other each have a coordinator of their own. Each group then hands out only the
 * share of a quota that corresponds to its share of the fleet, so both together stay within it.
 */
class FleetView
{
public:
    /**
     * @brief Sets the daemons in contact.
     * @param members All of them, this daemon included; sorted.
     * @param now Current time.
     */
    void setMembers(std::vector<DaemonId> members, SteadyTime now);

    /**
     * @brief Checks whether this daemon knows the others, or has been alone for so long that there are none.
     *
     * Many daemons that start at once do not know each other at first. If each took itself for the whole fleet, all together would
     * hand out a quota many times.
     * @param now Current time.
     */
    [[nodiscard]] bool isSettled(SteadyTime now) const;

    /**
     * @brief Records that a daemon takes no connections, so that it coordinates nothing for a while.
     * @param daemon The daemon.
     * @param now Current time.
     */
    void noteUnreachable(const DaemonId &daemon, SteadyTime now);

    /**
     * @brief Returns the daemon that keeps the quota of an account.
     * @param account Name of the account.
     * @param now Current time.
     * @return The coordinator, the same for all daemons with the same view; empty without members.
     */
    [[nodiscard]] DaemonId coordinatorOf(const std::string &account, SteadyTime now);

    /**
     * @brief Returns the part of each quota that is handed out here.
     * @param now Current time.
     * @return The daemons in contact as a share of those seen lately, above 0 and at most 1.
     */
    [[nodiscard]] double share(SteadyTime now);

    /*! @brief Returns the number of daemons seen lately, at least one. */
    [[nodiscard]] std::size_t largestSize(SteadyTime now);

    [[nodiscard]] const std::vector<DaemonId> &members() const noexcept
    {
        return m_members;
    }

private:
    std::vector<DaemonId> m_members;
    /*! @brief Known coordinators for the present members. */
    std::map<std::string, DaemonId> m_coordinators;
    /*! @brief Daemons that take no connections, until the given times. */
    std::map<DaemonId, SteadyTime> m_unreachable;
    std::optional<SteadyTime> m_startedAt;
    std::size_t m_largestSize{1};
    SteadyTime m_largestAt;
};

} // namespace egretlatch::quota

#endif
