#ifndef EGRETLATCH_MEMBERSHIP_MEMBER_HPP
#define EGRETLATCH_MEMBERSHIP_MEMBER_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <egretlatch/core/ids.hpp>

namespace egretlatch::membership
{

/*! @brief What a daemon is known to be doing. */
enum class MemberState {
    /*! @brief It runs, but its backend server has not announced itself. */
    idle,
    /*! @brief Its backend server takes work. */
    serving,
    /*! @brief Its backend server finishes what runs and takes nothing new. */
    draining,
    /*! @brief It has not been heard of; it may be down or cut off. */
    suspect,
    /*! @brief It left, or has been a suspect for too long. */
    gone,
};

/**
 * @brief Gives the name used in reports.
 * @param state The state to name.
 * @return The name of the enumerator.
 */
[[nodiscard]] std::string_view toString(MemberState state) noexcept;

/*! @brief A daemon and the backend server beside it, as last heard. */
struct Member
{
    DaemonId id;
    Incarnation incarnation;
    /*! @brief Grows with each change that the daemon makes to its own entry. */
    std::uint64_t revision{};
    /*! @brief Grows slowly while the daemon lives, so that later signs of life are told from earlier ones. */
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

/*! @brief A daemon's doubt about another one, refuted by an entry with a higher revision. */
struct Suspicion
{
    DaemonId id;
    Incarnation incarnation;
    /*! @brief The revision that the doubt is about. */
    std::uint64_t revision{};

    friend bool operator==(const Suspicion &, const Suspicion &) = default;
};

/*! @brief A daemon to turn to, of which no more is known. */
struct Contact
{
    DaemonId id;
    /*! @brief Address of its peer socket, as `tcp://ADDRESS:PORT`. */
    std::string endpoint;

    friend bool operator==(const Contact &, const Contact &) = default;
};

} // namespace egretlatch::membership

#endif
