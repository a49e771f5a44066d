#include <egretlatch/peer/inbound_connection.hpp>

#include <utility>

namespace egretlatch::peer
{

namespace internal
{

// Limits the bytes that the remote end has not read yet; beyond it the remote end is taken as stalled.
constexpr qsizetype maxUnsentBytes = qsizetype{32} * 1024 * 1024;
// Longer than a daemon keeps an unused link, so only a connection whose end was never detected reaches this age.
constexpr std::chrono::seconds maxUnused{90};

} // namespace internal

InboundConnection::InboundConnection(net::Poller &poller, InboundConnectionListener &listener, const int descriptor, const std::uint64_t number)
    : m_listener{listener}
    , m_number{number}
    , m_stream{poller, *this}
{
    m_stream.adopt(descriptor);
}

bool InboundConnection::send(const MessageBytes &frame)
{
    return m_stream.unsentBytes() < internal::maxUnsentBytes && write(frame);
}

bool InboundConnection::sendAnswer(const MessageBytes &frame)
{
    // A finished answer is owed, however much waits before it.
    m_hasSentAnswer = true;
    return write(frame);
}

bool InboundConnection::write(const MessageBytes &frame)
{
    if (!m_stream.isOpen()) {
        return false;
    }
    m_stream.write(frame.head);
    m_stream.write(frame.body);
    return true;
}

bool InboundConnection::owesAnswer()
{
    m_hasSentAnswer = m_hasSentAnswer && m_stream.undeliveredBytes() > 0;
    return m_hasSentAnswer && !m_stream.isSilent();
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
    while (std::optional<QByteArray> message = m_frames.next()) {
        if (message->isEmpty()) {
            // An empty frame is a keepalive request, and is answered by another one.
            static_cast<void>(send({.head = encodeFrame({}), .body = {}}));
        } else {
            m_listener.onMessage(*this, std::move(*message));
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
