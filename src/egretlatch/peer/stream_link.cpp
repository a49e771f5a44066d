#include <egretlatch/peer/stream_link.hpp>

#include <utility>

namespace egretlatch::peer
{

namespace internal
{

constexpr std::size_t maxPendingMessages = 1000;
// Limits the bytes that the remote end has not read yet, beside one long message; beyond it the remote end is stalled, and further
// messages would arrive too late.
constexpr qsizetype maxUnsentBytes = maxFrameBytes + qsizetype{8} * 1024 * 1024;
// A connection across a region opens within 100 ms, or in little more than 1 s if a packet is lost.
constexpr std::chrono::milliseconds connectTimeout{2000};
// Answers take some hundreds of milliseconds; a keepalive in between costs two small messages.
constexpr std::chrono::milliseconds pingAfter{500};
// Data from a daemon short of processor time, or across a network path that loses packets, arrives within this time.
constexpr std::chrono::milliseconds maxSilence{2500};
// Gossip contacts each of a hundred daemons again within this time, and keeping a connection costs less than reopening it.
constexpr std::chrono::seconds maxUnused{60};

} // namespace internal

StreamLink::StreamLink(net::Poller &poller, const Clock &clock, StreamLinkListener &listener, DaemonId daemon, net::Endpoint endpoint)
    : m_clock{clock}
    , m_listener{listener}
    , m_daemon{std::move(daemon)}
    , m_endpoint{std::move(endpoint)}
    , m_stream{poller, *this}
{
}

bool StreamLink::open()
{
    const SteadyTime now = m_clock.steadyNow();
    m_openedAt = now;
    m_lastUse = now;
    return m_stream.open(m_endpoint);
}

bool StreamLink::send(PendingFrame message, const SteadyTime now)
{
    if (m_hasEnded || m_pending.size() >= internal::maxPendingMessages || m_stream.unsentBytes() >= internal::maxUnsentBytes) {
        return false;
    }
    m_lastUse = now;
    m_awaitingSince = m_awaitingSince.value_or(now);
    m_unanswered += message.call.has_value() ? 1 : 0;
    if (!m_wasOpen) {
        // Handing messages to the stream only once it is open keeps the unsent ones known.
        m_pending.push_back(std::move(message));
        return true;
    }
    write(message);
    return true;
}

void StreamLink::write(const PendingFrame &message)
{
    m_stream.write(message.frame.head);
    m_stream.write(message.frame.body);
}

void StreamLink::tick(const SteadyTime now)
{
    if (m_hasEnded) {
        return;
    }
    if (!m_wasOpen) {
        if (now - m_openedAt >= internal::connectTimeout) {
            end();
        }
        return;
    }
    if (!m_awaitingSince.has_value()) {
        return;
    }
    if (now - *m_awaitingSince >= internal::maxSilence) {
        end();
        return;
    }
    if (now - *m_awaitingSince >= internal::pingAfter && now - m_lastPing >= internal::pingAfter) {
        m_lastPing = now;
        m_stream.write(encodeFrame({}));
    }
}

void StreamLink::close()
{
    m_hasEnded = true;
    m_stream.close();
}

void StreamLink::noteAnswered() noexcept
{
    m_unanswered -= m_unanswered > 0 ? 1 : 0;
    if (m_unanswered == 0) {
        m_awaitingSince.reset();
    }
}

void StreamLink::resetSilence(const SteadyTime now)
{
    if (m_awaitingSince.has_value()) {
        m_awaitingSince = now;
    }
}

bool StreamLink::isIdle(const SteadyTime now) const noexcept
{
    return !isAwaitingReply() && now - m_lastUse >= internal::maxUnused;
}

std::vector<CallId> StreamLink::takeUnsent()
{
    std::vector<CallId> calls;
    for (const PendingFrame &message : m_pending) {
        if (message.call.has_value()) {
            calls.push_back(*message.call);
        }
    }
    m_pending.clear();
    return calls;
}

void StreamLink::onOpen()
{
    m_wasOpen = true;
    std::deque<PendingFrame> pending;
    pending.swap(m_pending);
    for (const PendingFrame &message : pending) {
        write(message);
    }
}

void StreamLink::onBytes(const QByteArray &bytes)
{
    const SteadyTime now = m_clock.steadyNow();
    m_awaitingSince = m_unanswered > 0 ? std::optional{now} : std::nullopt;
    m_lastUse = m_unanswered > 0 ? now : m_lastUse;
    m_frames.add(bytes);
    while (std::optional<QByteArray> message = m_frames.next()) {
        if (!message->isEmpty()) {
            m_listener.onMessage(*this, std::move(*message));
        }
        if (m_hasEnded) {
            return;
        }
    }
    if (m_frames.isMalformed()) {
        end();
    }
}

void StreamLink::onEnd(net::StreamEnd /*end*/)
{
    end();
}

void StreamLink::end()
{
    close();
    m_listener.onLinkEnded(*this, m_wasOpen);
}

} // namespace egretlatch::peer
