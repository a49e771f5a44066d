#ifndef EGRETLATCH_MEMBERSHIP_MEMBER_HPP
#define EGRETLATCH_MEMBERSHIP_MEMBER_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <egretlatch/core/ids.hpp>

namespace egretlatch::membership
{

/*! @brief State of a member. */
enum class MemberState {
    /*! @brief The daemon runs, but its backend server has not announced itself. */
    idle,
    /*! @brief Its backend server accepts work. */
    serving,
    /*! @brief Its backend server finishes running requests and accepts no new ones. */
    draining,
    /*! @brief A probe of it failed; it may be down or partitioned. */
    suspect,
    /*! @brief It left, or its suspicion timed out. */
    gone,
};

/**
 * @brief Returns the name used in reports.
 * @param state The state.
 * @return The name of the enumerator.
 */
[[nodiscard]] std::string_view toString(MemberState state) noexcept;

/*! @brief Latest known entry of a daemon and its backend server. */
struct Member
{
    DaemonId id;
    Incarnation incarnation;
    /*! @brief Incremented with each change that the daemon makes to its own entry. */
    std::uint64_t revision{};
    /*! @brief Slow heartbeat counter; distinguishes a more recent entry from an older one of the same revision. */
    std::uint64_t beat{};
    MemberState state{MemberState::idle};
    /*! @brief Address of its peer socket, as `tcp://ADDRESS:PORT`. */
    std::string endpoint;
    std::string region;
    std::string dataCentre;
    /*! @brief Service of its backend server; empty while idle. */
    std::string service;
    int slots{};
    int connections{};

    friend bool operator==(const Member &, const Member &) = default;
};

/*! @brief Suspicion that a daemon has failed; an entry with a higher revision refutes it. */
struct Suspicion
{
    DaemonId id;
    Incarnation incarnation;
    /*! @brief Revision of the entry that is under suspicion. */
    std::uint64_t revision{};

    friend bool operator==(const Suspicion &, const Suspicion &) = default;
};

/*! @brief Id and address of a daemon, by which it can be contacted before its entry is known. */
struct Contact
{
    DaemonId id;
    /*! @brief Address of its peer socket, as `tcp://ADDRESS:PORT`. */
    std::string endpoint;

    friend bool operator==(const Contact &, const Contact &) = default;
};

} // namespace egretlatch::membership

#endif
