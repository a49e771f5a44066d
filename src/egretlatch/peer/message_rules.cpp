#include <egretlatch/peer/message_rules.hpp>

#include <egretlatch/membership/gossip_message.hpp>

namespace egretlatch::peer
{

std::optional<Incarnation> requesterIncarnation(const protocol::Message &message)
{
    if (const auto *const answer = std::get_if<protocol::CallAnswer>(&message)) {
        return answer->receiver;
    }
    const auto *const gossip = std::get_if<protocol::Gossip>(&message);
    const bool isReply = gossip != nullptr && membership::isReply(gossip->purpose);
    return isReply ? std::optional{gossip->receiver} : std::nullopt;
}

Result<protocol::Envelope> countFailure(Result<protocol::Envelope> decoded, account::MetricsSink &metrics)
{
    if (!decoded.has_value()) {
        metrics.count("messages_dropped", decoded.error().code == ErrorCode::wrongVersion ? "wrong-version" : "malformed");
    }
    return decoded;
}

} // namespace egretlatch::peer
