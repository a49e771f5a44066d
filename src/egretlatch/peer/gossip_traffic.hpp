#ifndef EGRETLATCH_PEER_GOSSIP_TRAFFIC_HPP
#define EGRETLATCH_PEER_GOSSIP_TRAFFIC_HPP

#include <cstdint>

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/protocol/messages.hpp>

namespace egretlatch::peer
{

/*! @brief Counts what membership costs in messages and bytes. */
class GossipTraffic
{
public:
    /**
     * @brief Builds it without traffic.
     * @param metrics Takes the counts; must outlive it.
     */
    explicit GossipTraffic(account::MetricsSink &metrics);

    /**
     * @brief Counts a message that is sent, if it is gossip.
     * @param message The message.
     * @param bytes Its size.
     */
    void countSent(const protocol::Message &message, std::size_t bytes);

private:
    account::MetricsSink &m_metrics;
    std::uint64_t m_bytes{};
    std::uint64_t m_messages{};
};

} // namespace egretlatch::peer

#endif
