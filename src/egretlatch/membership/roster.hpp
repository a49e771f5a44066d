#ifndef EGRETLATCH_MEMBERSHIP_ROSTER_HPP
#define EGRETLATCH_MEMBERSHIP_ROSTER_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/membership/member.hpp>

namespace egretlatch::membership
{

/*! @brief Source of a member's entry. */
enum class UpdateSource {
    /*! @brief Sent by the member itself. */
    member,
    /*! @brief Disseminated by another daemon after a change. */
    rumour,
    /*! @brief Part of another daemon's state, received in a pull reply. */
    pull,
};

/*! @brief Result of merging an entry or a suspicion. */
enum class MergeOutcome {
    /*! @brief Nothing changed that has to be disseminated. */
    unchanged,
    /*! @brief The entry or the state of the member changed. */
    changed,
    /*! @brief Others suspect this daemon or hold a wrong entry of it; its own entry now overrides theirs. */
    refuted,
};

/**
 * @brief Membership table of one daemon, itself included.
 *
 * Entries are ordered by incarnation, then revision; the higher one overrides the lower one. A suspicion overrides an entry
 * of its own revision, so a live daemon refutes it by raising its revision. A suspect that does not is marked as gone after a
 * timeout. Its entry is kept for hours, so that partitioned regions find each other's members again.
 */
class Roster
{
public:
    /**
     * @brief Creates a roster with one member.
     * @param self The daemon's own entry.
     */
    explicit Roster(Member self);

    /*! @brief Allows this daemon to raise its incarnation above that of an earlier one at the same address. */
    void allowIncarnationRaise() noexcept
    {
        m_mayRaiseIncarnation = true;
    }

    /**
     * @brief Merges an entry.
     * @param member The entry, as announced by the member itself.
     * @param source Source of the entry.
     * @param now Current time.
     * @return Result of the merge.
     */
    MergeOutcome merge(const Member &member, UpdateSource source, SteadyTime now);

    /**
     * @brief Merges a suspicion, raised by this daemon or received from another.
     * @param suspicion The suspicion; ignored if its incarnation or revision is outdated.
     * @param now Current time.
     * @return Result of the merge.
     */
    MergeOutcome suspect(const Suspicion &suspicion, SteadyTime now);

    /**
     * @brief Changes the daemon's own entry and raises its revision.
     * @param state New state of the daemon.
     * @param service Service of the backend server.
     * @param slots Slots of the backend server.
     * @param connections Connections of the backend server.
     */
    void updateSelf(MemberState state, const std::string &service, int slots, int connections);

    /*! @brief Increments the heartbeat counter of the daemon's own entry. */
    void beat() noexcept;

    /**
     * @brief Marks timed-out suspects as gone, and removes members that have been gone for hours.
     * @param now Current time.
     * @return True if a member's state changed or a member was removed.
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
     * @brief Finds an entry as announced by its member, to be sent to others.
     * @param id The daemon.
     * @return The entry, or null if it is unknown, or if it is suspect or gone without having announced that it left; valid until
     * the next change.
     */
    [[nodiscard]] const Member *findAnnounced(const DaemonId &id) const noexcept;

    /**
     * @brief Checks whether an earlier incarnation of a daemon was known here while it served.
     * @param id The daemon.
     * @param incarnation Its current incarnation.
     * @return True if it was, so that its departures were sent here.
     */
    [[nodiscard]] bool knewServingPredecessor(const DaemonId &id, Incarnation incarnation) const noexcept;

    /**
     * @brief Lists all members.
     * @return This daemon first, then the others by id.
     */
    [[nodiscard]] std::vector<Member> members() const;

    /**
     * @brief Lists the other members that are not gone.
     * @return Their ids, including suspects, sorted; valid until the next change.
     */
    [[nodiscard]] const std::vector<DaemonId> &participants() const;

    /**
     * @brief Lists the other members that are gone, whether they announced it or timed out.
     *
     * They are still pinged: a VM may restart its daemon at the same address, and while the store is unavailable a restarted
     * daemon discovers the fleet only when a member contacts it.
     * @return Their ids, sorted.
     */
    [[nodiscard]] std::vector<DaemonId> absent() const;

    /**
     * @brief Counts the other members that have not announced that they leave.
     * @return Their number, including those that are suspect or timed out.
     */
    [[nodiscard]] std::size_t countNotLeft() const;

    /**
     * @brief Lists a page of the entries to send to another daemon.
     * @param page Number of the page, counted from zero.
     * @param pageSize Entries per page.
     * @return Entries as announced by their members, sorted by id; suspects are left out, and gone members unless they announced
     * that they left.
     */
    [[nodiscard]] std::vector<Member> announcedPage(std::size_t page, std::size_t pageSize) const;

    /**
     * @brief Computes a checksum of the announced entries.
     * @return A number that is equal for two rosters that hold the same entries; suspects and gone members are not counted.
     */
    [[nodiscard]] std::uint64_t digest() const;

    /**
     * @brief Returns and clears the list of members whose shown entry changed.
     * @return Their ids since the last call, in the order of the changes; an id may occur more than once.
     */
    [[nodiscard]] std::vector<DaemonId> takeChanged();

    /**
     * @brief Returns the version of the table.
     * @return A number that grows with each change that is visible in members().
     */
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

private:
    struct Entry
    {
        /*! @brief Entry as announced by the member. */
        Member announced;
        /*! @brief The same entry with the state that this daemon attributes to the member. */
        Member shown;
        /*! @brief Time of the last change of the shown entry. */
        SteadyTime since;
        /*! @brief The current incarnation has announced a backend server. */
        bool hasServed{};
        /*! @brief An earlier incarnation had announced a backend server. */
        bool hasServedBefore{};
    };

    [[nodiscard]] MergeOutcome mergeSelf(const Member &member);
    [[nodiscard]] bool isOutrankedByEarlierIncarnation(const Member &member) const;
    [[nodiscard]] MergeOutcome replace(Entry &entry, const Member &member, SteadyTime now);
    [[nodiscard]] Duration suspicionTimeout() const;
    void noteChanged(const DaemonId &id);

    Member m_self;
    bool m_mayRaiseIncarnation{};
    std::map<DaemonId, Entry> m_others;
    std::uint64_t m_version{};
    std::vector<DaemonId> m_changed;
    mutable std::vector<DaemonId> m_participants;
    mutable std::uint64_t m_participantsVersion{};
};

} // namespace egretlatch::membership

#endif
