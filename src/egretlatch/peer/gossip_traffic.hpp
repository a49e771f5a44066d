#ifndef EGRETLATCH_PEER_GOSSIP_TRAFFIC_HPP
#define EGRETLATCH_PEER_GOSSIP_TRAFFIC_HPP

#include <cstdint>

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/protocol/messages.hpp>

namespace egretlatch::peer
{

/*! @brief Counts the messages and bytes sent as membership gossip. */
class GossipTraffic
{
public:
    /**
     * @brief Builds a counter that starts at zero.
     * @param metrics Receives the counts; must outlive this object.
     */
    explicit GossipTraffic(account::MetricsSink &metrics);

    /**
     * @brief Counts an outgoing message if it is gossip, and ignores any other.
     * @param message Message that is sent.
     * @param bytes Size of the encoded message.
     */
    void countSent(const protocol::Message &message, std::size_t bytes);

private:
    account::MetricsSink &m_metrics;
    std::uint64_t m_bytes{};
    std::uint64_t m_messages{};
};

} // namespace egretlatch::peer

#endif
