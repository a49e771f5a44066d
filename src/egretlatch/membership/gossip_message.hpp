#ifndef EGRETLATCH_MEMBERSHIP_GOSSIP_MESSAGE_HPP
#define EGRETLATCH_MEMBERSHIP_GOSSIP_MESSAGE_HPP

#include <cstdint>
#include <vector>

#include <egretlatch/admission/kind_performance.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/membership/member.hpp>
#include <egretlatch/membership/rumour.hpp>

namespace egretlatch::membership
{

/*! @brief Purpose of a gossip message. */
enum class GossipPurpose {
    /*! @brief Carries updates and expects no reply. */
    news,
    /*! @brief Liveness check; the receiver replies with an ack. */
    ping,
    /*! @brief Reply to a ping, or to a ping request whose subject sent an ack. */
    ack,
    /*! @brief Asks the receiver to ping a third daemon. */
    pingRequest,
    /*! @brief Asks for a page of the receiver's state. */
    pullRequest,
    /*! @brief Reply to a pull request. */
    pullReply,
};

/*! @brief Message of the gossip protocol; every message carries membership updates and rumours. */
struct GossipMessage
{
    GossipPurpose purpose{GossipPurpose::news};
    /*! @brief Number of the request, repeated in the reply. */
    std::uint64_t sequence{};
    /*! @brief Incarnation of the daemon that a reply is addressed to. */
    Incarnation receiver;
    /*! @brief Daemon that the receiver of a ping request should ping. */
    Contact subject;
    /*! @brief Checksum of the sender's state; with equal checksums no state is transferred. */
    std::uint64_t digest{};
    /*! @brief Page of the state that a pull asks for or returns, counted from zero. */
    std::uint32_t page{};
    /*! @brief Flag in a pull reply that further pages follow. */
    bool hasMore{};
    /*! @brief Member entries, the sender's own first. */
    std::vector<Member> members;
    std::vector<Suspicion> suspicions;
    std::vector<Rumour> rumours;
    /*! @brief Performance of the sender's backend server, by kind. */
    std::vector<admission::KindPerformance> performance;
    /*! @brief Set in an ack whose sender knew an earlier incarnation of the receiver that served; it sends the departures of that time. */
    bool knewPredecessor{};

    friend bool operator==(const GossipMessage &, const GossipMessage &) = default;
};

/**
 * @brief Distinguishes replies from other messages; a reply is sent over the connection that the request arrived on.
 * @param purpose Purpose of a message.
 * @return True for a reply.
 */
[[nodiscard]] constexpr bool isReply(const GossipPurpose purpose) noexcept
{
    return purpose == GossipPurpose::ack || purpose == GossipPurpose::pullReply;
}

/*! @brief Gossip message to send, with its destination. */
struct OutgoingGossip
{
    Contact to;
    GossipMessage message;
};

} // namespace egretlatch::membership

#endif
