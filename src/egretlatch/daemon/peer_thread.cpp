#include <egretlatch/daemon/peer_thread.hpp>

#include <array>
#include <vector>

#include <sys/eventfd.h>
#include <unistd.h>

#include <fmt/format.h>

#include <egretlatch/protocol/codec.hpp>

namespace egretlatch::daemon
{

namespace internal
{

constexpr int messagesHeld = 10'000;
constexpr int reconnectMs = 50;
constexpr int reconnectMaxMs = 1000;
constexpr int heartbeatMs = 1000;
constexpr int heartbeatTimeoutMs = 3000;
constexpr std::int64_t largestMessage = 80LL * 1024 * 1024;
constexpr int receiveBatch = 64;

[[nodiscard]] static std::string routingId(const DaemonId &daemon, const Incarnation incarnation)
{
    return fmt::format("{}/{:x}", daemon.value, incarnation.value);
}

static void prepare(zmq::socket_t &socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, messagesHeld);
    socket.set(zmq::sockopt::rcvhwm, messagesHeld);
    socket.set(zmq::sockopt::maxmsgsize, largestMessage);
    socket.set(zmq::sockopt::reconnect_ivl, reconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, reconnectMaxMs);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeatMs);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMs);
}

} // namespace internal

DescriptorWaker::DescriptorWaker()
    : m_descriptor{eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)}
{
}

DescriptorWaker::~DescriptorWaker()
{
    close(m_descriptor);
}

void DescriptorWaker::wake()
{
    const std::uint64_t one = 1;
    // The write fails only once the counter is full, and then the reader is awake anyway.
    static_cast<void>(::write(m_descriptor, &one, sizeof one));
}

void DescriptorWaker::reset()
{
    std::uint64_t count = 0;
    static_cast<void>(::read(m_descriptor, &count, sizeof count));
}

PeerThread::PeerThread(DaemonId self, const Incarnation incarnation, Ring<decision::Event> &inward, account::MetricsSink &metrics)
    : m_self{std::move(self)}
    , m_incarnation{incarnation}
    , m_inward{inward}
    , m_metrics{metrics}
    , m_router{m_context, zmq::socket_type::router}
{
}

PeerThread::~PeerThread()
{
    m_isStopping.store(true);
    m_waker.wake();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

Result<void> PeerThread::start(const std::string &endpoint, Ring<decision::SendToPeer> &outward)
{
    internal::prepare(m_router);
    m_router.set(zmq::sockopt::router_mandatory, 1);
    // A daemon whose connection broke comes back under the same routing id before the old connection is known to be
    // dead; without the handover its messages would be dropped until then.
    m_router.set(zmq::sockopt::router_handover, 1);
    try {
        m_router.bind(endpoint);
    } catch (const zmq::error_t &error) {
        return tl::unexpected{Error{ErrorCode::unavailable, fmt::format("cannot bind {}: {}", endpoint, error.what())}};
    }
    m_thread = std::thread{[this, &outward] {
        run(outward);
    }};
    return {};
}

void PeerThread::run(Ring<decision::SendToPeer> &outward)
{
    while (!m_isStopping.load()) {
        poll();
        m_waker.reset();
        while (const std::unique_ptr<decision::SendToPeer> order = outward.tryPop()) {
            send(*order);
        }
    }
    m_links.clear();
}

void PeerThread::poll()
{
    std::vector<zmq::pollitem_t> items;
    std::vector<zmq::socket_t *> sockets;
    items.push_back({nullptr, m_waker.descriptor(), ZMQ_POLLIN, 0});
    items.push_back({m_router.handle(), 0, ZMQ_POLLIN, 0});
    for (auto &[daemon, link] : m_links) {
        items.push_back({link.socket.handle(), 0, ZMQ_POLLIN, 0});
        sockets.push_back(&link.socket);
    }
    zmq::poll(items, std::chrono::milliseconds{-1});
    if ((items[1].revents & ZMQ_POLLIN) != 0) {
        receiveFrom(m_router, true);
    }
    for (std::size_t index = 0; index < sockets.size(); ++index) {
        if ((items[index + 2].revents & ZMQ_POLLIN) != 0) {
            receiveFrom(*sockets[index], false);
        }
    }
}

void PeerThread::receiveFrom(zmq::socket_t &socket, const bool isRouter)
{
    for (int count = 0; count < internal::receiveBatch; ++count) {
        zmq::message_t first;
        if (!socket.recv(first, zmq::recv_flags::dontwait).has_value()) {
            return;
        }
        if (!isRouter) {
            take(first.to_string_view(), nullptr);
            continue;
        }
        if (!first.more()) {
            m_metrics.count("messages_dropped", "malformed");
            continue;
        }
        zmq::message_t second;
        static_cast<void>(socket.recv(second, zmq::recv_flags::dontwait));
        bool hasMore = second.more();
        while (hasMore) {
            zmq::message_t rest;
            static_cast<void>(socket.recv(rest, zmq::recv_flags::dontwait));
            hasMore = rest.more();
        }
        const std::string routingId = first.to_string();
        take(second.to_string_view(), &routingId);
    }
}

void PeerThread::take(const std::string_view bytes, const std::string *const routingId)
{
    Result<protocol::Envelope> envelope = protocol::decode(bytes);
    if (!envelope.has_value()) {
        m_metrics.count("messages_dropped", envelope.error().code == ErrorCode::wrongVersion ? "wrong-version" : "malformed");
        return;
    }
    // The answer goes back to the routing id of the connection, so a sender that names itself otherwise gets none.
    if (routingId != nullptr && *routingId != internal::routingId(envelope->sender, envelope->incarnation)) {
        m_metrics.count("messages_dropped", "sender-mismatch");
        return;
    }
    if (!m_inward.tryPush(decision::PeerMessage{.envelope = std::move(*envelope)})) {
        m_metrics.count("messages_dropped", "ring-full");
    }
}

void PeerThread::send(const decision::SendToPeer &order)
{
    if (const auto *const given = std::get_if<protocol::CallAnswer>(&order.message)) {
        answer(order, given->receiver);
        return;
    }
    if (const auto *const gossip = std::get_if<protocol::Gossip>(&order.message); gossip != nullptr && membership::isReply(gossip->purpose)) {
        answer(order, gossip->receiver);
        return;
    }
    Link *const link = linkTo(order);
    const std::string bytes = encode(order.message);
    const bool isSent = link != nullptr && link->socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
    if (isSent) {
        return;
    }
    m_metrics.count("messages_dropped", "send-failed");
    if (const auto *const request = std::get_if<protocol::CallRequest>(&order.message)) {
        // A lost failure is harmless: the call then ends at its deadline with `may-have-run`.
        static_cast<void>(m_inward.tryPush(decision::SendFailed{.to = order.to, .call = request->call}));
    }
}

void PeerThread::answer(const decision::SendToPeer &order, const Incarnation receiver)
{
    const std::string routingId = internal::routingId(order.to, receiver);
    const std::string bytes = encode(order.message);
    try {
        const std::array<zmq::const_buffer, 2> parts{zmq::buffer(routingId), zmq::buffer(bytes)};
        const bool isSent = m_router.send(parts[0], zmq::send_flags::sndmore | zmq::send_flags::dontwait).has_value()
            && m_router.send(parts[1], zmq::send_flags::dontwait).has_value();
        if (!isSent) {
            m_metrics.count("messages_dropped", "send-failed");
        }
    } catch (const zmq::error_t &) {
        // The daemon that asked has gone, or its connection has; nobody is there to take the answer.
        m_metrics.count("messages_dropped", "receiver-gone");
    }
}

PeerThread::Link *PeerThread::linkTo(const decision::SendToPeer &order)
{
    const auto found = m_links.find(order.to);
    if (found != m_links.end() && (order.endpoint.empty() || found->second.endpoint == order.endpoint)) {
        return &found->second;
    }
    if (order.endpoint.empty()) {
        return nullptr;
    }
    if (found != m_links.end()) {
        m_links.erase(found);
    }
    zmq::socket_t socket{m_context, zmq::socket_type::dealer};
    internal::prepare(socket);
    socket.set(zmq::sockopt::routing_id, internal::routingId(m_self, m_incarnation));
    try {
        socket.connect(order.endpoint);
    } catch (const zmq::error_t &) {
        return nullptr;
    }
    const auto added = m_links.emplace(order.to, Link{.endpoint = order.endpoint, .socket = std::move(socket)});
    return &added.first->second;
}

std::string PeerThread::encode(const protocol::Message &message) const
{
    return protocol::encode({.sender = m_self, .incarnation = m_incarnation, .message = message});
}

} // namespace egretlatch::daemon
