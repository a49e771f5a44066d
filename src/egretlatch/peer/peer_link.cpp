#include <egretlatch/peer/peer_link.hpp>

#include <fmt/format.h>

namespace egretlatch::peer
{

namespace internal
{

constexpr int highWaterMark = 10'000;
constexpr std::size_t maxPendingMessages = 1000;
// ZeroMQ must keep an ended connection for reconnection, as it otherwise discards what was received and not yet read. The link is
// closed long before this interval ends, so no reconnection takes place.
constexpr int reconnectIntervalMs = 24 * 60 * 60 * 1000;
constexpr int connectTimeoutMs = 2000;
constexpr int handshakeTimeoutMs = 2000;
constexpr int heartbeatMs = 2000;
constexpr int heartbeatTimeoutMs = 3000;
constexpr int heartbeatTtlMs = 6000;
constexpr std::int64_t maxMessageBytes = 80LL * 1024 * 1024;
constexpr std::chrono::seconds idleAfterGossip{3};
constexpr std::chrono::seconds idleAfterCalls{60};
constexpr std::chrono::minutes idleWithUnanswered{10};

constexpr int watchedEvents = ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_CLOSED | ZMQ_EVENT_DISCONNECTED | ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH | ZMQ_EVENT_CONNECT_RETRIED;

} // namespace internal

void setCommonOptions(zmq::socket_t &socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, internal::highWaterMark);
    socket.set(zmq::sockopt::rcvhwm, internal::highWaterMark);
    socket.set(zmq::sockopt::maxmsgsize, internal::maxMessageBytes);
    socket.set(zmq::sockopt::handshake_ivl, internal::handshakeTimeoutMs);
}

PeerLink::PeerLink(zmq::context_t &context, SocketWatch &watch, LinkOptions options, const std::uint64_t number)
    : m_watch{watch}
    , m_options{std::move(options)}
    , m_socket{context, zmq::socket_type::dealer}
    , m_monitor{context, m_socket, internal::watchedEvents, fmt::format("inproc://link-{}", number)}
    , m_messageSource{.daemon = m_options.daemon, .isMonitor = false}
    , m_eventSource{.daemon = m_options.daemon, .isMonitor = true}
{
    setCommonOptions(m_socket);
    m_socket.set(zmq::sockopt::routing_id, m_options.routingId);
    m_socket.set(zmq::sockopt::reconnect_ivl, internal::reconnectIntervalMs);
    m_socket.set(zmq::sockopt::connect_timeout, internal::connectTimeoutMs);
    // A failed VM or a partitioned network does not close a connection, so heartbeats detect the loss. The remote end sends
    // none of its own: it times the connection out by the time to live that each heartbeat carries.
    m_socket.set(zmq::sockopt::heartbeat_ivl, internal::heartbeatMs);
    m_socket.set(zmq::sockopt::heartbeat_timeout, internal::heartbeatTimeoutMs);
    m_socket.set(zmq::sockopt::heartbeat_ttl, internal::heartbeatTtlMs);
    if (m_options.keys.has_value()) {
        m_socket.set(zmq::sockopt::curve_publickey, m_options.keys->publicKey);
        m_socket.set(zmq::sockopt::curve_secretkey, m_options.keys->secretKey);
        m_socket.set(zmq::sockopt::curve_serverkey, m_options.serverKey);
    }
    m_socket.connect(m_options.endpoint);
    m_watch.add(m_socket, m_messageSource);
    m_watch.add(m_monitor.reader(), m_eventSource);
    // A new ZeroMQ pipe signals its reader only after the reader has once found it empty.
    static_cast<void>(update());
}

PeerLink::~PeerLink()
{
    m_watch.remove(m_socket);
    m_watch.remove(m_monitor.reader());
}

bool PeerLink::send(PendingMessage message, const SteadyTime now)
{
    m_lastUse = now;
    if (message.call.has_value()) {
        m_hasCarriedCalls = true;
    }
    // A message for a connection whose end ZeroMQ has reported already must count as not sent.
    static_cast<void>(update());
    if (m_state == LinkState::opening) {
        if (m_pending.size() >= internal::maxPendingMessages) {
            return false;
        }
        m_pending.push_back(std::move(message));
        return true;
    }
    if (m_state != LinkState::open || !m_socket.send(zmq::buffer(message.bytes), zmq::send_flags::dontwait).has_value()) {
        return false;
    }
    m_unanswered += message.call.has_value() ? 1 : 0;
    return true;
}

bool PeerLink::receive(zmq::message_t &message, const SteadyTime now)
{
    if (!m_socket.recv(message, zmq::recv_flags::dontwait).has_value()) {
        return false;
    }
    m_lastUse = now;
    return true;
}

LinkState PeerLink::update()
{
    while (const std::optional<std::uint16_t> event = m_monitor.next()) {
        handleMonitorEvent(*event);
    }
    // Not before all events are read: a message handed to a connection that has ended could no longer count as not sent.
    if (m_state == LinkState::open && !m_pending.empty()) {
        sendPending();
    }
    return m_state;
}

void PeerLink::noteAnswered() noexcept
{
    m_unanswered -= m_unanswered > 0 ? 1 : 0;
}

bool PeerLink::isIdle(const SteadyTime now) const noexcept
{
    const Duration unused = now - m_lastUse;
    if (hasUnanswered()) {
        return unused >= internal::idleWithUnanswered;
    }
    return unused >= (m_hasCarriedCalls ? Duration{internal::idleAfterCalls} : Duration{internal::idleAfterGossip});
}

std::deque<PendingMessage> PeerLink::takeUnsent()
{
    std::deque<PendingMessage> pending;
    pending.swap(m_pending);
    return pending;
}

void PeerLink::takeOver(PeerLink &other)
{
    m_pending = other.takeUnsent();
    m_hasCarriedCalls = other.m_hasCarriedCalls;
    m_lastUse = other.m_lastUse;
}

void PeerLink::handleMonitorEvent(const std::uint16_t event)
{
    if (event == ZMQ_EVENT_HANDSHAKE_SUCCEEDED) {
        m_state = m_state == LinkState::opening ? LinkState::open : m_state;
        return;
    }
    // Only the first event after the end changes the state; the following ones report the same loss.
    if (m_state == LinkState::open) {
        m_state = LinkState::lost;
    } else if (m_state == LinkState::opening) {
        m_state = LinkState::failed;
    }
}

void PeerLink::sendPending()
{
    std::deque<PendingMessage> unsent;
    for (PendingMessage &message : takeUnsent()) {
        const bool isSent = m_socket.send(zmq::buffer(message.bytes), zmq::send_flags::dontwait).has_value();
        if (!isSent) {
            unsent.push_back(std::move(message));
        } else if (message.call.has_value()) {
            ++m_unanswered;
        }
    }
    m_pending = std::move(unsent);
}

} // namespace egretlatch::peer
