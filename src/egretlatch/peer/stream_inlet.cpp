#include <egretlatch/peer/stream_inlet.hpp>

namespace egretlatch::peer
{

namespace internal
{

// Bytes that the other side has not taken; beyond them it stands still.
constexpr qsizetype mostUnsentAnswers = qsizetype{32} * 1024 * 1024;
// Longer than a daemon keeps a link that it does not use, so only one whose end was never told of gets so old.
constexpr std::chrono::seconds longestUnused{90};

} // namespace internal

StreamInlet::StreamInlet(net::Poller &poller, StreamInletListener &listener, const int descriptor, const std::uint64_t number)
    : m_listener{listener}
    , m_number{number}
    , m_stream{poller, *this}
{
    m_stream.adopt(descriptor);
}

bool StreamInlet::send(const QByteArray &frame)
{
    if (!m_stream.isOpen() || m_stream.unsentBytes() >= internal::mostUnsentAnswers) {
        return false;
    }
    m_stream.write(frame);
    return true;
}

bool StreamInlet::isOver(const SteadyTime now) const noexcept
{
    return m_frames.isBroken() || now - m_lastUse >= internal::longestUnused;
}

void StreamInlet::onOpen()
{
}

void StreamInlet::onBytes(const QByteArray &bytes)
{
    m_frames.add(bytes);
    while (const std::optional<QByteArray> message = m_frames.next()) {
        if (message->isEmpty()) {
            // Asked for a sign of life.
            static_cast<void>(send(frameOf({})));
        } else {
            m_listener.onMessage(*this, *message);
        }
    }
    if (m_frames.isBroken()) {
        m_stream.close();
    }
}

void StreamInlet::onEnd(net::StreamEnd /*end*/)
{
    m_listener.onInletEnded(*this);
}

} // namespace egretlatch::peer
