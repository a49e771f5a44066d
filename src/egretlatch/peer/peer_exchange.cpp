#include <egretlatch/peer/peer_exchange.hpp>

#include <array>

#include <fmt/format.h>

#include <egretlatch/peer/message_rules.hpp>
#include <egretlatch/protocol/codec.hpp>

namespace egretlatch::peer
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

PeerExchange::PeerExchange(
    DaemonId self, const Incarnation incarnation, std::optional<settings::PeerKeys> keys, Receiver receiver, account::MetricsSink &metrics)
    : m_self{std::move(self)}
    , m_incarnation{incarnation}
    , m_keys{std::move(keys)}
    , m_receiver{std::move(receiver)}
    , m_metrics{metrics}
    , m_gossip{metrics}
    , m_router{m_context, zmq::socket_type::router}
    , m_routerMonitor{m_context, zmq::socket_type::pair}
    , m_links{m_context, m_watch, internal::routingId(m_self, incarnation), m_keys}
{
}

PeerExchange::~PeerExchange()
{
    m_links.links().clear();
    m_context.shutdown();
}

Result<void> PeerExchange::start(const std::string &endpoint)
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
    m_watch.add(m_router, m_routerSource);
    m_watch.add(m_routerMonitor, m_routerMonitorSource);
    countRefused();
    return {};
}

void PeerExchange::processSockets()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    bool isSweepDue = now >= m_nextSweep;
    for (const SocketSource *const source : m_watch.ready()) {
        if (source->daemon.has_value() && source->isMonitor) {
            isSweepDue = true;
        } else if (source->daemon.has_value()) {
            m_used.insert(*source->daemon);
        } else if (source->isMonitor) {
            countRefused();
        } else {
            m_isRouterUsed = true;
        }
    }
    if (isSweepDue) {
        sweep(now);
    }
    settle();
}

void PeerExchange::sweep(const SteadyTime now)
{
    m_nextSweep = now + internal::sweepInterval;
    // What came before a link ended is read before the link is closed.
    for (const auto &[daemon, link] : m_links.links()) {
        m_used.insert(daemon);
    }
    receiveFromUsed();
    m_links.update(now);
}

void PeerExchange::settle()
{
    // What is delivered may lead to sends, and those to further arrivals.
    do {
        receiveFromUsed();
        reportEnded();
        std::vector<decision::Event> arrived;
        arrived.swap(m_arrived);
        for (decision::Event &event : arrived) {
            m_receiver(std::move(event));
        }
    } while (hasUnsettled());
}

bool PeerExchange::hasUnsettled() const noexcept
{
    return m_isRouterUsed || !m_used.empty() || !m_arrived.empty();
}

void PeerExchange::receiveFromUsed()
{
    if (m_isRouterUsed) {
        receiveFromRouter();
    }
    std::set<DaemonId> used;
    used.swap(m_used);
    for (const DaemonId &daemon : used) {
        receiveFrom(daemon);
    }
}

void PeerExchange::receiveFromRouter()
{
    m_isRouterUsed = false;
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
    m_isRouterUsed = true;
}

void PeerExchange::receiveFrom(const DaemonId &daemon)
{
    const auto found = m_links.links().find(daemon);
    if (found == m_links.links().end()) {
        return;
    }
    PeerLink &link = *found->second;
    const SteadyTime now = std::chrono::steady_clock::now();
    zmq::message_t message;
    for (int count = 0; count < internal::receiveBatch; ++count) {
        if (!link.receive(message, now)) {
            return;
        }
        take(message.to_string_view(), nullptr, &link);
    }
    m_used.insert(daemon);
}

void PeerExchange::countRefused()
{
    zmq::message_t event;
    while (m_routerMonitor.recv(event, zmq::recv_flags::dontwait).has_value()) {
        internal::dropRest(m_routerMonitor, event.more());
        m_metrics.count("connections_refused", "handshake");
    }
}

void PeerExchange::take(const std::string_view bytes, const std::string *const routingId, PeerLink *const link)
{
    Result<protocol::Envelope> envelope = decodeCounted(bytes, m_metrics);
    if (!envelope.has_value()) {
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
    m_arrived.emplace_back(decision::PeerMessage{.envelope = std::move(*envelope)});
}

void PeerExchange::send(const decision::SendToPeer &order)
{
    if (const std::optional<Incarnation> asker = askerOf(order.message)) {
        answer(order, *asker);
        return;
    }
    sendByLink(order);
}

void PeerExchange::sendByLink(const decision::SendToPeer &order)
{
    const auto *const request = std::get_if<protocol::CallRequest>(&order.message);
    WaitingMessage message{.bytes = encode(order.message), .call = std::nullopt};
    if (request != nullptr) {
        message.call = request->call;
    }
    m_gossip.noteSent(order.message, message.bytes.size());
    PeerLink *const link = m_links.linkTo(order.to, order.endpoint);
    if (link != nullptr && link->send(std::move(message), std::chrono::steady_clock::now())) {
        m_used.insert(order.to);
        return;
    }
    m_metrics.count("messages_dropped", "send-failed");
    if (request != nullptr) {
        reportUnsent(order.to, request->call);
    }
}

void PeerExchange::answer(const decision::SendToPeer &order, const Incarnation receiver)
{
    const std::string routingId = internal::routingId(order.to, receiver);
    const std::string bytes = encode(order.message);
    m_gossip.noteSent(order.message, bytes.size());
    m_isRouterUsed = true;
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

void PeerExchange::reportEnded()
{
    for (const EndedLink &ended : m_links.takeEnded()) {
        for (const WaitingMessage &message : ended.waiting) {
            if (message.call.has_value()) {
                reportUnsent(ended.daemon, *message.call);
            }
        }
        m_metrics.count("links_ended", ended.wasOpen ? "lost" : "not-opened");
        m_arrived.emplace_back(decision::PeerLost{.daemon = ended.daemon, .wasConnected = ended.wasOpen});
    }
}

void PeerExchange::reportUnsent(const DaemonId &to, const CallId call)
{
    m_arrived.emplace_back(decision::SendFailed{.to = to, .call = call});
}

std::string PeerExchange::encode(const protocol::Message &message) const
{
    return protocol::encode({.sender = m_self, .incarnation = m_incarnation, .message = message});
}

} // namespace egretlatch::peer
