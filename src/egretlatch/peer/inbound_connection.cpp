#include <egretlatch/peer/inbound_connection.hpp>

namespace egretlatch::peer
{

namespace internal
{

// Bytes that the other side has not taken; beyond them it stands still.
constexpr qsizetype maxUnsentBytes = qsizetype{32} * 1024 * 1024;
// Longer than a daemon keeps a link that it does not use, so only one whose end was never told of gets so old.
constexpr std::chrono::seconds maxUnused{90};

} // namespace internal

InboundConnection::InboundConnection(net::Poller &poller, InboundConnectionListener &listener, const int descriptor, const std::uint64_t number)
    : m_listener{listener}
    , m_number{number}
    , m_stream{poller, *this}
{
    m_stream.adopt(descriptor);
}

bool InboundConnection::send(const QByteArray &frame)
{
    if (!m_stream.isOpen() || m_stream.unsentBytes() >= internal::maxUnsentBytes) {
        return false;
    }
    m_stream.write(frame);
    return true;
}

bool InboundConnection::isExpired(const SteadyTime now) const noexcept
{
    return m_frames.isMalformed() || now - m_lastUse >= internal::maxUnused;
}

void InboundConnection::onOpen()
{
}

void InboundConnection::onBytes(const QByteArray &bytes)
{
    m_frames.add(bytes);
    while (const std::optional<QByteArray> message = m_frames.next()) {
        if (message->isEmpty()) {
            // Asked for a sign of life.
            static_cast<void>(send(encodeFrame({})));
        } else {
            m_listener.onMessage(*this, *message);
        }
    }
    if (m_frames.isMalformed()) {
        m_stream.close();
    }
}

void InboundConnection::onEnd(net::StreamEnd /*end*/)
{
    m_listener.onInboundConnectionEnded(*this);
}

} // namespace egretlatch::peer
