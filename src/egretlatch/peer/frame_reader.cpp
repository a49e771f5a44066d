#include <egretlatch/peer/frame_reader.hpp>

#include <QtEndian>

namespace egretlatch::peer
{

namespace internal
{

constexpr qsizetype lengthSize = sizeof(quint32);

} // namespace internal

QByteArray encodeFrame(const std::string_view message)
{
    QByteArray frame;
    frame.reserve(internal::lengthSize + static_cast<qsizetype>(message.size()));
    frame.resize(internal::lengthSize);
    qToBigEndian(static_cast<quint32>(message.size()), frame.data());
    frame.append(message.data(), static_cast<qsizetype>(message.size()));
    return frame;
}

void FrameReader::add(const QByteArray &bytes)
{
    // Discards the frames read so far in one step, rather than moving the buffer for each frame.
    m_buffer.remove(0, m_readOffset);
    m_readOffset = 0;
    m_buffer.append(bytes);
}

std::optional<QByteArray> FrameReader::next()
{
    const qsizetype available = m_buffer.size() - m_readOffset;
    if (m_isMalformed || available < internal::lengthSize) {
        return std::nullopt;
    }
    const auto length = static_cast<qsizetype>(qFromBigEndian<quint32>(m_buffer.constData() + m_readOffset));
    if (length > maxFrameBytes) {
        m_isMalformed = true;
        return std::nullopt;
    }
    if (available < internal::lengthSize + length) {
        return std::nullopt;
    }
    QByteArray message = m_buffer.mid(m_readOffset + internal::lengthSize, length);
    m_readOffset += internal::lengthSize + length;
    return message;
}

} // namespace egretlatch::peer
