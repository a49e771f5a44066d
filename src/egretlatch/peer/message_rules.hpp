#ifndef EGRETLATCH_PEER_MESSAGE_RULES_HPP
#define EGRETLATCH_PEER_MESSAGE_RULES_HPP

#include <optional>
#include <string_view>

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/core/error.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/protocol/messages.hpp>

namespace egretlatch::peer
{

/**
 * @brief Returns the incarnation that a reply is addressed to; a reply is sent over the connection that its request arrived on.
 * @param message Message to send.
 * @return Incarnation of the requesting daemon; nothing for a message that is not a reply and is sent over a link.
 */
[[nodiscard]] std::optional<Incarnation> requesterIncarnation(const protocol::Message &message);

/**
 * @brief Decodes a message, and counts one that cannot be decoded as dropped.
 * @param bytes Encoded message.
 * @param metrics Receives the count of dropped messages.
 * @return The message with its sender; `malformed` or `wrongVersion` otherwise.
 */
[[nodiscard]] Result<protocol::Envelope> decodeAndCountFailure(std::string_view bytes, account::MetricsSink &metrics);

} // namespace egretlatch::peer

#endif
