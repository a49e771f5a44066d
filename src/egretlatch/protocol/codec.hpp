#ifndef EGRETLATCH_PROTOCOL_CODEC_HPP
#define EGRETLATCH_PROTOCOL_CODEC_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <egretlatch/core/error.hpp>
#include <egretlatch/core/message_bytes.hpp>
#include <egretlatch/protocol/messages.hpp>

namespace egretlatch::protocol
{

/*! @brief Version of the protocol between daemons; a message of any other version is rejected. */
constexpr std::uint32_t protocolVersion = 1;

/**
 * @brief Encodes a message.
 * @param envelope Message with its sender.
 * @return Bytes of a protobuf Envelope.
 */
[[nodiscard]] std::string encode(const Envelope &envelope);

/**
 * @brief Encodes a message in two pieces, so that a long body is not copied.
 * @param envelope Message with its sender.
 * @return The bytes of encode(); the long body of a call or an answer is shared.
 */
[[nodiscard]] MessageBytes encodeSplit(const Envelope &envelope);

/**
 * @brief Decodes a message.
 * @param bytes Untrusted bytes received from another daemon.
 * @return The message; `malformed` or `wrongVersion` otherwise.
 */
[[nodiscard]] Result<Envelope> decode(std::string_view bytes);

/**
 * @brief Decodes a message whose long body stays where it is.
 * @param bytes Untrusted bytes received from another daemon; not copied if nobody else holds them.
 * @return The message; `malformed` or `wrongVersion` otherwise.
 */
[[nodiscard]] Result<Envelope> decodeShared(QByteArray bytes);

} // namespace egretlatch::protocol

#endif
