#ifndef EGRETLATCH_PEER_MESSAGE_RULES_HPP
#define EGRETLATCH_PEER_MESSAGE_RULES_HPP

#include <optional>

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
 * @brief Counts a message that could not be decoded as dropped.
 * @param decoded Result of the decoding.
 * @param metrics Receives the count of dropped messages.
 * @return The result, unchanged.
 */
[[nodiscard]] Result<protocol::Envelope> countFailure(Result<protocol::Envelope> decoded, account::MetricsSink &metrics);

} // namespace egretlatch::peer

#endif
