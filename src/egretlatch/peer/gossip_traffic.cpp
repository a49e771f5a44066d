#include <egretlatch/peer/gossip_traffic.hpp>

namespace egretlatch::peer
{

GossipTraffic::GossipTraffic(account::MetricsSink &metrics)
    : m_metrics{metrics}
{
}

void GossipTraffic::countSent(const protocol::Message &message, const std::size_t bytes)
{
    if (!std::holds_alternative<protocol::Gossip>(message)) {
        return;
    }
    m_bytes += bytes;
    ++m_messages;
    m_metrics.set("gossip_bytes_sent", static_cast<double>(m_bytes));
    m_metrics.set("gossip_messages_sent", static_cast<double>(m_messages));
}

} // namespace egretlatch::peer
