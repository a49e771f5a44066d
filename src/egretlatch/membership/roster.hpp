#ifndef EGRETLATCH_MEMBERSHIP_ROSTER_HPP
#define EGRETLATCH_MEMBERSHIP_ROSTER_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/membership/member.hpp>

namespace egretlatch::membership
{

/*! @brief The members that one daemon knows of, itself among them. */
class Roster
{
public:
    /**
     * @brief Builds a roster with one member.
     * @param self The daemon's own entry.
     */
    explicit Roster(Member self);

    /**
     * @brief Takes news of a member.
     * @param member The news.
     * @param now Current time.
     * @return True if it says something new. News of this daemon itself never change its own entry.
     */
    bool merge(const Member &member, SteadyTime now);

    /**
     * @brief Changes the daemon's own entry and raises its revision.
     * @param state What the daemon does from now on.
     * @param service Service of the backend server.
     * @param slots Slots of the backend server.
     * @param connections Connections of the backend server.
     */
    void updateSelf(MemberState state, const std::string &service, int slots, int connections);

    /**
     * @brief Ages members that have not been heard of.
     * @param now Current time.
     * @return True if a member's state changed.
     */
    bool tick(SteadyTime now);

    [[nodiscard]] const Member &self() const noexcept
    {
        return m_self;
    }

    /**
     * @brief Finds a member.
     * @param id The daemon.
     * @return Its entry, or null; valid until the next change.
     */
    [[nodiscard]] const Member *find(const DaemonId &id) const noexcept;

    /**
     * @brief Lists all members.
     * @return This daemon first, then the others by id.
     */
    [[nodiscard]] std::vector<Member> members() const;

private:
    struct Entry
    {
        Member member;
        SteadyTime heard;
    };

    Member m_self;
    std::map<DaemonId, Entry> m_others;
};

} // namespace egretlatch::membership

#endif
