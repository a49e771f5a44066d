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
 * @brief Tells whether a message is a reply, which goes back by the connection that what it replies to came in by.
 * @param message The message.
 * @return The life of the daemon that asked; nothing for a message that goes out by a link.
 */
[[nodiscard]] std::optional<Incarnation> requesterIncarnation(const protocol::Message &message);

/**
 * @brief Reads a message, and counts one that cannot be read as dropped.
 * @param bytes Its bytes.
 * @param metrics Takes the count.
 * @return The message with its sender, or why there is none.
 */
[[nodiscard]] Result<protocol::Envelope> decodeAndCountFailure(std::string_view bytes, account::MetricsSink &metrics);

} // namespace egretlatch::peer

#endif
