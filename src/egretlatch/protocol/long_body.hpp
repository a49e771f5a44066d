#ifndef EGRETLATCH_PROTOCOL_LONG_BODY_HPP
#define EGRETLATCH_PROTOCOL_LONG_BODY_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <QByteArray>

#include <egretlatch/protocol/messages.hpp>

namespace egretlatch::protocol::internal
{

/*! @brief Position of a long body that ends an encoded Envelope. */
struct LongBodyPosition
{
    /*! @brief Offset of the field of the Envelope that holds nothing but the body. */
    std::size_t field{};
    /*! @brief Offset of the body, which lasts to the end. */
    std::size_t body{};

    friend bool operator==(const LongBodyPosition &, const LongBodyPosition &) = default;
};

/**
 * @brief Returns the long body of a message.
 * @param message The message.
 * @return The body; null if the message has none or a shorter one.
 */
[[nodiscard]] const QByteArray *longBodyOf(const Message &message);

/**
 * @brief Appends to an encoded Envelope what has to stand before a long body.
 *
 * The body stands last, in a second part of its message, which any parser of protobuf merges with the first.
 * @param message The message.
 * @param body Its long body.
 * @param bytes Receives the bytes.
 */
void appendLongBodyPrefix(const Message &message, const QByteArray &body, std::string &bytes);

/**
 * @brief Finds a long body that ends an encoded Envelope.
 * @param bytes Untrusted bytes.
 * @return Its position; nothing if they end with anything else.
 */
[[nodiscard]] std::optional<LongBodyPosition> findLongBody(std::string_view bytes);

} // namespace egretlatch::protocol::internal

#endif
