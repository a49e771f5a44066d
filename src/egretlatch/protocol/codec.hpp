#ifndef EGRETLATCH_PROTOCOL_CODEC_HPP
#define EGRETLATCH_PROTOCOL_CODEC_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <egretlatch/core/error.hpp>
#include <egretlatch/protocol/messages.hpp>

namespace egretlatch::protocol
{

/*! @brief Version of the messages between daemons; a daemon reads no other. */
constexpr std::uint32_t protocolVersion = 1;

/**
 * @brief Encodes a message.
 * @param envelope The message with its sender.
 * @return The bytes of a protobuf Envelope.
 */
[[nodiscard]] std::string encode(const Envelope &envelope);

/**
 * @brief Decodes a message.
 * @param bytes Bytes from another daemon; anything may stand there.
 * @return The message; `malformed` or `wrongVersion` otherwise.
 */
[[nodiscard]] Result<Envelope> decode(std::string_view bytes);

} // namespace egretlatch::protocol

#endif
