#ifndef EGRETLATCH_PEER_FRAME_READER_HPP
#define EGRETLATCH_PEER_FRAME_READER_HPP

#include <optional>
#include <string_view>

#include <QByteArray>

#include <egretlatch/core/message_bytes.hpp>

namespace egretlatch::peer
{

/*! @brief Largest message in bytes that a frame may hold; a larger length means that the remote end does not speak this protocol. */
constexpr qsizetype maxFrameBytes = qsizetype{80} * 1024 * 1024;

/**
 * @brief Encodes a message as a frame: its length as a 4-byte big-endian integer, followed by the message.
 * @param message Bytes of the message; empty for a keepalive frame.
 * @return Bytes of the frame.
 */
[[nodiscard]] QByteArray encodeFrame(std::string_view message);

/**
 * @brief Encodes a message in two pieces as a frame.
 * @param message The message.
 * @return Bytes of the frame; its long body is shared.
 */
[[nodiscard]] MessageBytes encodeSplitFrame(const MessageBytes &message);

/*! @brief Splits a stream of bytes into frames. */
class FrameReader
{
public:
    /**
     * @brief Appends received bytes to the buffer.
     * @param bytes Received bytes; they may end in the middle of a frame.
     */
    void add(const QByteArray &bytes);

    /**
     * @brief Takes the next complete frame from the buffer.
     * @return Its message; nothing if more bytes are needed, or if isMalformed().
     */
    [[nodiscard]] std::optional<QByteArray> next();

    /*! @brief Tells whether a length above maxFrameBytes was received; no frame after it can be recognised. */
    [[nodiscard]] bool isMalformed() const noexcept
    {
        return m_isMalformed;
    }

private:
    [[nodiscard]] std::optional<QByteArray> takeLong();

    QByteArray m_buffer;
    qsizetype m_readOffset{};
    /*! @brief Message of a frame that is long and incomplete, received where it stays; its length is `m_longLength`. */
    QByteArray m_long;
    /*! @brief Length of that message; zero if there is none. */
    qsizetype m_longLength{};
    bool m_isMalformed{};
};

} // namespace egretlatch::peer

#endif
