#ifndef EGRETLATCH_PEER_FRAME_READER_HPP
#define EGRETLATCH_PEER_FRAME_READER_HPP

#include <optional>
#include <string_view>

#include <QByteArray>

namespace egretlatch::peer
{

/*! @brief Bytes of a message that a frame may hold; beyond it the other side does not speak our protocol. */
constexpr qsizetype maxFrameBytes = qsizetype{80} * 1024 * 1024;

/**
 * @brief Puts a message in a frame: four bytes of length, the highest first, and the message.
 * @param message Bytes of the message; empty for a frame that only says that its sender lives.
 * @return Bytes of the frame.
 */
[[nodiscard]] QByteArray encodeFrame(std::string_view message);

/*! @brief Finds the frames in a stream of bytes. */
class FrameReader
{
public:
    /**
     * @brief Takes bytes that came.
     * @param bytes The bytes.
     */
    void add(const QByteArray &bytes);

    /**
     * @brief Takes the next whole frame.
     * @return Its message, or nothing until more bytes come or where isBroken().
     */
    [[nodiscard]] std::optional<QByteArray> next();

    /*! @brief Whether a length came that no frame has; nothing that follows can be told apart. */
    [[nodiscard]] bool isMalformed() const noexcept
    {
        return m_isMalformed;
    }

private:
    QByteArray m_buffer;
    qsizetype m_readOffset{};
    bool m_isMalformed{};
};

} // namespace egretlatch::peer

#endif
