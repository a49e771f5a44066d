#ifndef EGRETLATCH_DECISION_CONFIGURATION_ROLES_HPP
#define EGRETLATCH_DECISION_CONFIGURATION_ROLES_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <egretlatch/configuration/follower_delegate.hpp>
#include <egretlatch/membership/roster.hpp>

namespace egretlatch::decision
{

/**
 * @brief Role of this daemon in the distribution of configurations, derived from membership alone.
 *
 * Some daemons of each data centre read, so that one that is cut off from the others still has its own, and as many more are
 * their deputies. All daemons that hold the same roster choose the same ones; where rosters differ, too many or too few read for
 * a moment, which the age of the confirmations corrects. Regular adverts go to a few neighbours, more of them near than far.
 */
class ConfigurationRoles
{
public:
    /**
     * @brief Constructs the role.
     * @param roster The fleet; must outlive it.
     */
    explicit ConfigurationRoles(const membership::Roster &roster);

    /**
     * @brief Returns the duty of this daemon.
     * @return The duty; `none` while its backend server leaves.
     */
    [[nodiscard]] configuration::ReadDuty own();

    /**
     * @brief Returns the place of this daemon among the readers of all data centres.
     * @return The place, counted as if each data centre had as many readers; none if it is no reader.
     */
    [[nodiscard]] configuration::ReadTurn turn();

    /**
     * @brief Lists the other readers of the fleet.
     * @return Their addresses.
     */
    [[nodiscard]] const std::vector<configuration::Peer> &readers();

    /**
     * @brief Lists the deputies of this daemon's data centre.
     * @return Their addresses; empty if this daemon is no reader.
     */
    [[nodiscard]] const std::vector<configuration::Peer> &deputies();

    /**
     * @brief Lists the daemons that get the regular adverts of this one.
     * @return Their addresses, sixteen at most.
     */
    [[nodiscard]] const std::vector<configuration::Peer> &neighbours();

private:
    /*! @brief Members of a data centre that may read, the first readers first. */
    using Candidates = std::vector<const membership::Member *>;

    void update();
    [[nodiscard]] std::map<std::string, Candidates> candidates() const;
    void chooseReaders();
    void chooseOwnDuty(const Candidates &near, std::size_t readers);
    void chooseNeighbours();
    [[nodiscard]] configuration::Peer peerOf(const DaemonId &id) const;

    const membership::Roster &m_roster;
    std::uint64_t m_version{};
    bool m_isKnown{};
    configuration::ReadDuty m_own{configuration::ReadDuty::none};
    configuration::ReadTurn m_turn;
    std::vector<configuration::Peer> m_readers;
    std::vector<configuration::Peer> m_deputies;
    std::vector<configuration::Peer> m_neighbours;
};

} // namespace egretlatch::decision

#endif
