#include <egretlatch/peer/message_rules.hpp>

#include <egretlatch/membership/gossip_message.hpp>
#include <egretlatch/protocol/codec.hpp>

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

Result<protocol::Envelope> decodeAndCountFailure(const std::string_view bytes, account::MetricsSink &metrics)
{
    Result<protocol::Envelope> envelope = protocol::decode(bytes);
    if (!envelope.has_value()) {
        metrics.count("messages_dropped", envelope.error().code == ErrorCode::wrongVersion ? "wrong-version" : "malformed");
    }
    return envelope;
}

} // namespace egretlatch::peer
