#ifndef EGRETLATCH_PROTOCOL_CODEC_HPP
#define EGRETLATCH_PROTOCOL_CODEC_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <egretlatch/core/error.hpp>
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
 * @brief Decodes a message.
 * @param bytes Untrusted bytes received from another daemon.
 * @return The message; `malformed` or `wrongVersion` otherwise.
 */
[[nodiscard]] Result<Envelope> decode(std::string_view bytes);

} // namespace egretlatch::protocol

#endif
