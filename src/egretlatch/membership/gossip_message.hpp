#ifndef EGRETLATCH_MEMBERSHIP_GOSSIP_MESSAGE_HPP
#define EGRETLATCH_MEMBERSHIP_GOSSIP_MESSAGE_HPP

#include <cstdint>
#include <vector>

#include <egretlatch/admission/kind_pace.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/membership/member.hpp>
#include <egretlatch/membership/rumour.hpp>

namespace egretlatch::membership
{

/*! @brief Why a gossip message is sent. */
enum class GossipPurpose {
    /*! @brief Carries news and wants no answer. */
    news,
    /*! @brief Asks for a sign of life. */
    ping,
    /*! @brief Answers a ping, or says that the subject of a ping request answered. */
    ack,
    /*! @brief Asks the receiver to ping a third daemon. */
    pingRequest,
    /*! @brief Asks for a part of the receiver's state. */
    pullRequest,
    /*! @brief Answers a pull request. */
    pullReply,
};

/*! @brief News of members and of other small facts. */
struct GossipMessage
{
    GossipPurpose purpose{GossipPurpose::news};
    /*! @brief Repeated by the answer. */
    std::uint64_t sequence{};
    /*! @brief Incarnation of the daemon that an answer is for. */
    Incarnation receiver;
    /*! @brief The daemon that a ping request is about. */
    Contact subject;
    /*! @brief Sum over the sender's state; equal sums need no pull. */
    std::uint64_t digest{};
    /*! @brief Part of the state that a pull is about, counted from zero. */
    std::uint32_t page{};
    /*! @brief Whether further parts follow the one in a pull reply. */
    bool hasMore{};
    /*! @brief The sender's own entry first. */
    std::vector<Member> members;
    std::vector<Suspicion> suspicions;
    std::vector<Rumour> rumours;
    /*! @brief How fast the backend server beside the sender is. */
    std::vector<admission::KindPace> paces;

    friend bool operator==(const GossipMessage &, const GossipMessage &) = default;
};

/**
 * @brief Tells answers from the rest; an answer goes back by the connection that the question came by.
 * @param purpose Purpose of a message.
 * @return True for an answer.
 */
[[nodiscard]] constexpr bool isReply(const GossipPurpose purpose) noexcept
{
    return purpose == GossipPurpose::ack || purpose == GossipPurpose::pullReply;
}

/*! @brief A gossip message on its way out. */
struct OutgoingGossip
{
    Contact to;
    GossipMessage message;
};

} // namespace egretlatch::membership

#endif
