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

/*! @brief How news of a member came. */
enum class UpdateSource {
    /*! @brief From the member itself, just now. */
    member,
    /*! @brief From another daemon that spreads a change. */
    rumour,
    /*! @brief From another daemon's state. */
    pull,
};

/*! @brief What news of a member led to. */
enum class MergeOutcome {
    /*! @brief Nothing that anyone has to be told. */
    known,
    /*! @brief The member's entry or liveness changed. */
    changed,
    /*! @brief Others doubt this daemon or hold a wrong entry of it; its own entry now overrules theirs. */
    refuted,
};

/**
 * @brief The members that one daemon knows of, itself among them.
 *
 * An entry with a higher incarnation, then revision, overrules a lower one. A suspicion overrules an entry of its own
 * revision, so a live daemon refutes it by raising the revision. A suspect that does not is aged: shown as gone and
 * kept, so that regions cut off from each other find their members again.
 */
class Roster
{
public:
    /**
     * @brief Builds a roster with one member.
     * @param self The daemon's own entry.
     */
    explicit Roster(Member self);

    /*! @brief Lets this daemon take a higher incarnation where an earlier life of it at the same address has one. */
    void allowIncarnationRaise() noexcept
    {
        m_mayRaiseIncarnation = true;
    }

    /**
     * @brief Takes an entry.
     * @param member The entry, as the member itself made it.
     * @param source How it came.
     * @param now Current time.
     * @return What it led to.
     */
    MergeOutcome merge(const Member &member, UpdateSource source, SteadyTime now);

    /**
     * @brief Takes a doubt, this daemon's own or another's.
     * @param suspicion The doubt; one about a life or revision that is past changes nothing.
     * @param now Current time.
     * @return What it led to.
     */
    MergeOutcome suspect(const Suspicion &suspicion, SteadyTime now);

    /**
     * @brief Changes the daemon's own entry and raises its revision.
     * @param state What the daemon does from now on.
     * @param service Service of the backend server.
     * @param slots Slots of the backend server.
     * @param connections Connections of the backend server.
     */
    void updateSelf(MemberState state, const std::string &service, int slots, int connections);

    /*! @brief Raises the beat of the daemon's own entry. */
    void beat() noexcept;

    /**
     * @brief Ages suspects, and forgets members that have been gone for hours.
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
     * @brief Gives an entry as its member made it, to be told to others.
     * @param id The daemon.
     * @return The entry, or null if it is unknown or taken for gone without having said so; valid until the next change.
     */
    [[nodiscard]] const Member *findAnnounced(const DaemonId &id) const noexcept;

    /**
     * @brief Lists all members.
     * @return This daemon first, then the others by id.
     */
    [[nodiscard]] std::vector<Member> members() const;

    /**
     * @brief Lists the other members that take part.
     * @return Their ids, suspects among them, in order; valid until the next change.
     */
    [[nodiscard]] const std::vector<DaemonId> &participants() const;

    /**
     * @brief Lists the other members that are gone, whether they said so or not.
     *
     * A VM may start its daemon again at the same address. While the store is away, a daemon that has just started learns of
     * the fleet only by being asked.
     * @return Their ids, in order.
     */
    [[nodiscard]] std::vector<DaemonId> absent() const;

    /**
     * @brief Lists entries to tell another daemon.
     * @param page Which part, counted from zero.
     * @param pageSize Entries of a part.
     * @return Entries as their members made them, by id; gone ones only if they said so themselves.
     */
    [[nodiscard]] std::vector<Member> announcedPage(std::size_t page, std::size_t pageSize) const;

    /**
     * @brief Sums up what is known.
     * @return A number that two rosters share if they say the same of each member.
     */
    [[nodiscard]] std::uint64_t digest() const;

    /**
     * @brief Takes the members whose shown entry changed.
     * @return Their ids since the last call, in the order of the changes; an id may come more than once.
     */
    [[nodiscard]] std::vector<DaemonId> takeChanged();

    /**
     * @brief Counts changes.
     * @return A number that grows with each change that members() shows.
     */
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

private:
    struct Entry
    {
        /*! @brief As the member made it. */
        Member announced;
        /*! @brief With the state as this daemon sees it. */
        Member shown;
        /*! @brief When the shown state last changed. */
        SteadyTime since;
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
