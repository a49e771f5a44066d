#include <egretlatch/peer/frame_reader.hpp>

#include <algorithm>
#include <utility>

#include <QtEndian>

namespace egretlatch::peer
{

namespace internal
{

constexpr qsizetype lengthSize = sizeof(quint32);

[[nodiscard]] static QByteArray frameHead(const std::string_view message, const qsizetype length)
{
    QByteArray frame;
    frame.reserve(lengthSize + static_cast<qsizetype>(message.size()));
    frame.resize(lengthSize);
    qToBigEndian(static_cast<quint32>(length), frame.data());
    frame.append(message.data(), static_cast<qsizetype>(message.size()));
    return frame;
}

} // namespace internal

QByteArray encodeFrame(const std::string_view message)
{
    return internal::frameHead(message, static_cast<qsizetype>(message.size()));
}

MessageBytes encodeSplitFrame(const MessageBytes &message)
{
    const std::string_view head{message.head.constData(), static_cast<std::size_t>(message.head.size())};
    return {.head = internal::frameHead(head, message.size()), .body = message.body};
}

void FrameReader::add(const QByteArray &bytes)
{
    // Discards the frames read so far in one step, rather than moving the buffer for each frame.
    m_buffer.remove(0, m_readOffset);
    m_readOffset = 0;
    const qsizetype missing = std::min(m_longLength - m_long.size(), bytes.size());
    m_long.append(bytes.constData(), missing);
    m_buffer.append(bytes.constData() + missing, bytes.size() - missing);
}

std::optional<QByteArray> FrameReader::next()
{
    if (m_longLength > 0) {
        return takeLong();
    }
    const qsizetype available = m_buffer.size() - m_readOffset;
    if (m_isMalformed || available < internal::lengthSize) {
        return std::nullopt;
    }
    const auto length = static_cast<qsizetype>(qFromBigEndian<quint32>(m_buffer.constData() + m_readOffset));
    if (length > maxFrameBytes) {
        m_isMalformed = true;
        return std::nullopt;
    }
    if (available >= internal::lengthSize + length) {
        QByteArray message = m_buffer.mid(m_readOffset + internal::lengthSize, length);
        m_readOffset += internal::lengthSize + length;
        return message;
    }
    if (length >= longBodyBytes) {
        m_longLength = length;
        m_long.reserve(length);
        m_long.append(m_buffer.constData() + m_readOffset + internal::lengthSize, available - internal::lengthSize);
        m_readOffset = m_buffer.size();
    }
    return std::nullopt;
}

std::optional<QByteArray> FrameReader::takeLong()
{
    if (m_long.size() < m_longLength) {
        return std::nullopt;
    }
    m_longLength = 0;
    return std::exchange(m_long, {});
}

} // namespace egretlatch::peer
