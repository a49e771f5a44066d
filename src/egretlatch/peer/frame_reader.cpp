#include <egretlatch/peer/frame_reader.hpp>

#include <QtEndian>

namespace egretlatch::peer
{

namespace internal
{

constexpr qsizetype lengthSize = sizeof(quint32);

} // namespace internal

QByteArray frameOf(const std::string_view message)
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
    // What was read is dropped here, once for all frames of the bytes before.
    m_held.remove(0, m_read);
    m_read = 0;
    m_held.append(bytes);
}

std::optional<QByteArray> FrameReader::next()
{
    const qsizetype left = m_held.size() - m_read;
    if (m_isBroken || left < internal::lengthSize) {
        return std::nullopt;
    }
    const auto length = static_cast<qsizetype>(qFromBigEndian<quint32>(m_held.constData() + m_read));
    if (length > largestFrame) {
        m_isBroken = true;
        return std::nullopt;
    }
    if (left < internal::lengthSize + length) {
        return std::nullopt;
    }
    QByteArray message = m_held.mid(m_read + internal::lengthSize, length);
    m_read += internal::lengthSize + length;
    return message;
}

} // namespace egretlatch::peer
