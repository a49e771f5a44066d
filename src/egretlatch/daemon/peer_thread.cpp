#include <egretlatch/daemon/peer_thread.hpp>

#include <array>
#include <vector>

#include <sys/eventfd.h>
#include <unistd.h>

#include <fmt/format.h>

#include <egretlatch/membership/gossip_message.hpp>
#include <egretlatch/protocol/codec.hpp>

namespace egretlatch::daemon
{

namespace internal
{

constexpr int receiveBatch = 64;
constexpr std::chrono::milliseconds sweepInterval{1000};
constexpr const char *routerMonitorEndpoint = "inproc://router-monitor";
constexpr int refusalEvents = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL;

[[nodiscard]] static std::string routingId(const DaemonId &daemon, const Incarnation incarnation)
{
    return fmt::format("{}/{:x}", daemon.value, incarnation.value);
}

static void dropRest(zmq::socket_t &socket, bool hasMore)
{
    while (hasMore) {
        zmq::message_t rest;
        static_cast<void>(socket.recv(rest, zmq::recv_flags::dontwait));
        hasMore = rest.more();
    }
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

PeerThread::PeerThread(
    DaemonId self, const Incarnation incarnation, std::optional<settings::PeerKeys> keys, Ring<decision::Event> &inward, account::MetricsSink &metrics)
    : m_self{std::move(self)}
    , m_incarnation{incarnation}
    , m_keys{std::move(keys)}
    , m_inward{inward}
    , m_metrics{metrics}
    , m_router{m_context, zmq::socket_type::router}
    , m_routerMonitor{m_context, zmq::socket_type::pair}
    , m_links{m_context, internal::routingId(m_self, incarnation), m_keys}
{
}

PeerThread::~PeerThread()
{
    m_isStopping.store(true);
    m_waker.wake();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    m_context.shutdown();
}

Result<void> PeerThread::start(const std::string &endpoint, Ring<decision::SendToPeer> &outward)
{
    prepareSocket(m_router);
    m_router.set(zmq::sockopt::router_mandatory, 1);
    // A daemon whose connection broke comes back under the same routing id before the old connection is known to be
    // dead; without the handover its messages would be dropped until then.
    m_router.set(zmq::sockopt::router_handover, 1);
    if (m_keys.has_value()) {
        // Before the socket is bound: a connection that comes while nobody answers for the keys would be let in.
        m_authenticator = std::make_unique<PeerAuthenticator>(m_context, m_keys->accepted, m_metrics);
        m_router.set(zmq::sockopt::curve_server, 1);
        m_router.set(zmq::sockopt::curve_secretkey, m_keys->secretKey);
    }
    zmq_socket_monitor(m_router.handle(), internal::routerMonitorEndpoint, internal::refusalEvents);
    m_routerMonitor.set(zmq::sockopt::linger, 0);
    m_routerMonitor.connect(internal::routerMonitorEndpoint);
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
        reportEnded();
    }
    m_links.links().clear();
}

void PeerThread::poll()
{
    constexpr std::size_t ownItems = 3;
    std::vector<zmq::pollitem_t> items{
        {nullptr, m_waker.descriptor(), ZMQ_POLLIN, 0},
        {m_router.handle(), 0, ZMQ_POLLIN, 0},
        {m_routerMonitor.handle(), 0, ZMQ_POLLIN, 0},
    };
    std::vector<PeerLink *> links;
    for (auto &[daemon, link] : m_links.links()) {
        items.push_back({link->socket().handle(), 0, ZMQ_POLLIN, 0});
        items.push_back({link->monitor().handle(), 0, ZMQ_POLLIN, 0});
        links.push_back(link.get());
    }
    const std::chrono::milliseconds forever{-1};
    zmq::poll(items, links.empty() ? forever : internal::sweepInterval);
    if ((items[1].revents & ZMQ_POLLIN) != 0) {
        receiveFromRouter();
    }
    if ((items[2].revents & ZMQ_POLLIN) != 0) {
        countRefused();
    }
    const SteadyTime now = std::chrono::steady_clock::now();
    bool isSweepDue = now >= m_nextSweep;
    for (std::size_t index = 0; index < links.size(); ++index) {
        if ((items[ownItems + (2 * index)].revents & ZMQ_POLLIN) != 0) {
            receiveFrom(*links[index]);
        }
        isSweepDue = isSweepDue || (items[ownItems + (2 * index) + 1].revents & ZMQ_POLLIN) != 0;
    }
    if (isSweepDue) {
        m_nextSweep = now + internal::sweepInterval;
        m_links.update(now);
    }
}

void PeerThread::receiveFromRouter()
{
    for (int count = 0; count < internal::receiveBatch; ++count) {
        zmq::message_t first;
        if (!m_router.recv(first, zmq::recv_flags::dontwait).has_value()) {
            return;
        }
        if (!first.more()) {
            m_metrics.count("messages_dropped", "malformed");
            continue;
        }
        zmq::message_t second;
        static_cast<void>(m_router.recv(second, zmq::recv_flags::dontwait));
        internal::dropRest(m_router, second.more());
        const std::string routingId = first.to_string();
        take(second.to_string_view(), &routingId, nullptr);
    }
}

void PeerThread::receiveFrom(PeerLink &link)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    zmq::message_t message;
    for (int count = 0; count < internal::receiveBatch && link.receive(message, now); ++count) {
        take(message.to_string_view(), nullptr, &link);
    }
}

void PeerThread::countRefused()
{
    zmq::message_t event;
    while (m_routerMonitor.recv(event, zmq::recv_flags::dontwait).has_value()) {
        internal::dropRest(m_routerMonitor, event.more());
        m_metrics.count("connections_refused", "handshake");
    }
}

void PeerThread::take(const std::string_view bytes, const std::string *const routingId, PeerLink *const link)
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
    if (link != nullptr && std::holds_alternative<protocol::CallAnswer>(envelope->message)) {
        link->noteAnswered();
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
    sendByLink(order);
}

void PeerThread::sendByLink(const decision::SendToPeer &order)
{
    const auto *const request = std::get_if<protocol::CallRequest>(&order.message);
    WaitingMessage message{.bytes = encode(order.message), .call = std::nullopt};
    if (request != nullptr) {
        message.call = request->call;
    }
    countBytes(order.message, message.bytes.size());
    PeerLink *const link = m_links.linkTo(order.to, order.endpoint);
    if (link != nullptr && link->send(std::move(message), std::chrono::steady_clock::now())) {
        return;
    }
    m_metrics.count("messages_dropped", "send-failed");
    if (request != nullptr) {
        reportUnsent(order.to, request->call);
    }
}

void PeerThread::answer(const decision::SendToPeer &order, const Incarnation receiver)
{
    const std::string routingId = internal::routingId(order.to, receiver);
    const std::string bytes = encode(order.message);
    countBytes(order.message, bytes.size());
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

void PeerThread::reportEnded()
{
    for (const EndedLink &ended : m_links.takeEnded()) {
        for (const WaitingMessage &message : ended.waiting) {
            if (message.call.has_value()) {
                reportUnsent(ended.daemon, *message.call);
            }
        }
        m_metrics.count("links_ended", ended.wasOpen ? "lost" : "not-opened");
        // A lost event is harmless: the calls then end at their deadline with `may-have-run`.
        static_cast<void>(m_inward.tryPush(decision::PeerLost{.daemon = ended.daemon, .wasConnected = ended.wasOpen}));
    }
}

void PeerThread::reportUnsent(const DaemonId &to, const CallId call)
{
    // A lost event is harmless: the call then ends at its deadline with `may-have-run`.
    static_cast<void>(m_inward.tryPush(decision::SendFailed{.to = to, .call = call}));
}

void PeerThread::countBytes(const protocol::Message &message, const std::size_t bytes)
{
    if (std::holds_alternative<protocol::Gossip>(message)) {
        m_gossipBytes += bytes;
        ++m_gossipMessages;
        m_metrics.set("gossip_bytes_sent", static_cast<double>(m_gossipBytes));
        m_metrics.set("gossip_messages_sent", static_cast<double>(m_gossipMessages));
    }
}

std::string PeerThread::encode(const protocol::Message &message) const
{
    return protocol::encode({.sender = m_self, .incarnation = m_incarnation, .message = message});
}

} // namespace egretlatch::daemon
