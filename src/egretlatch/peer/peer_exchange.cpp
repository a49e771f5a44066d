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
// Longest time for which a daemon that does not read its answers, such as a paused one, holds up the end of this process.
constexpr int answerLingerMs = 5000;
constexpr std::chrono::milliseconds linkUpdateInterval{1000};
constexpr const char *routerMonitorEndpoint = "inproc://router-monitor";
constexpr int handshakeFailureEvents = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL;

[[nodiscard]] static std::string routingId(const DaemonId &daemon, const Incarnation incarnation)
{
    return fmt::format("{}/{:x}", daemon.value, incarnation.value);
}

static void discardRemainingParts(zmq::socket_t &socket, bool hasMore)
{
    while (hasMore) {
        zmq::message_t rest;
        static_cast<void>(socket.recv(rest, zmq::recv_flags::dontwait));
        hasMore = rest.more();
    }
}

} // namespace internal

PeerExchange::PeerExchange(
    DaemonId self, const Incarnation incarnation, std::optional<settings::PeerKeys> keys, EventCallback callback, account::MetricsSink &metrics)
    : m_self{std::move(self)}
    , m_incarnation{incarnation}
    , m_keys{std::move(keys)}
    , m_callback{std::move(callback)}
    , m_metrics{metrics}
    , m_gossipTraffic{metrics}
    , m_router{m_context, zmq::socket_type::router}
    , m_routerMonitor{m_context, m_router, internal::handshakeFailureEvents, internal::routerMonitorEndpoint}
    , m_links{m_context, m_watch, internal::routingId(m_self, incarnation), m_keys}
{
}

PeerExchange::~PeerExchange()
{
    m_links.links().clear();
    // Answers that ZeroMQ has not written yet are sent before the context ends.
    m_router.set(zmq::sockopt::linger, internal::answerLingerMs);
    m_context.shutdown();
}

Result<void> PeerExchange::start(const std::string &endpoint)
{
    setCommonOptions(m_router);
    m_router.set(zmq::sockopt::router_mandatory, 1);
    // After a broken connection a daemon reconnects under the same routing id, possibly before the old connection is
    // detected as dead. Without the handover its messages would be dropped until then.
    m_router.set(zmq::sockopt::router_handover, 1);
    if (m_keys.has_value()) {
        // Must precede bind(): ZeroMQ accepts any connection while no authenticator is running.
        m_authenticator = std::make_unique<PeerAuthenticator>(m_context, m_keys->accepted, m_metrics);
        m_router.set(zmq::sockopt::curve_server, 1);
        m_router.set(zmq::sockopt::curve_secretkey, m_keys->secretKey);
    }
    try {
        m_router.bind(endpoint);
    } catch (const zmq::error_t &error) {
        return tl::unexpected{Error{ErrorCode::unavailable, fmt::format("cannot bind {}: {}", endpoint, error.what())}};
    }
    m_watch.add(m_router, m_routerSource);
    m_watch.add(m_routerMonitor.reader(), m_routerMonitorSource);
    countRefusedConnections();
    return {};
}

void PeerExchange::processSockets()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    bool isLinkUpdateDue = now >= m_nextLinkUpdate;
    for (const SocketSource *const source : m_watch.ready()) {
        if (source->daemon.has_value() && source->isMonitor) {
            isLinkUpdateDue = true;
        } else if (source->daemon.has_value()) {
            m_linksToRead.insert(*source->daemon);
        } else if (source->isMonitor) {
            countRefusedConnections();
        } else {
            m_isRouterToRead = true;
        }
    }
    if (isLinkUpdateDue) {
        updateLinks(now);
    }
    processPending();
}

void PeerExchange::updateLinks(const SteadyTime now)
{
    m_nextLinkUpdate = now + internal::linkUpdateInterval;
    // The end of a link is read before its messages, so that none arrives between the last read and the closing of the link.
    for (const auto &[daemon, link] : m_links.links()) {
        static_cast<void>(link->update());
        m_linksToRead.insert(daemon);
    }
    receivePending();
    for (const auto &[daemon, link] : m_links.links()) {
        if (link->hasEnded()) {
            receiveAllFrom(daemon);
        }
    }
    m_links.closeUnneeded(now);
}

void PeerExchange::processPending()
{
    // The callback may send messages, and sending may reveal further received ones.
    do {
        receivePending();
        reportEndedLinks();
        std::vector<decision::Event> receivedEvents;
        receivedEvents.swap(m_receivedEvents);
        for (decision::Event &event : receivedEvents) {
            m_callback(std::move(event));
        }
    } while (hasPending());
}

bool PeerExchange::hasPending() const noexcept
{
    return m_isRouterToRead || !m_linksToRead.empty() || !m_receivedEvents.empty();
}

void PeerExchange::receivePending()
{
    if (m_isRouterToRead) {
        receiveFromRouter();
    }
    std::set<DaemonId> linksToRead;
    linksToRead.swap(m_linksToRead);
    for (const DaemonId &daemon : linksToRead) {
        receiveFrom(daemon);
    }
}

void PeerExchange::receiveFromRouter()
{
    m_isRouterToRead = false;
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
        internal::discardRemainingParts(m_router, second.more());
        const std::string routingId = first.to_string();
        handleMessage(second.to_string_view(), &routingId, nullptr);
    }
    m_isRouterToRead = true;
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
        handleMessage(message.to_string_view(), nullptr, &link);
    }
    m_linksToRead.insert(daemon);
}

void PeerExchange::receiveAllFrom(const DaemonId &daemon)
{
    do {
        m_linksToRead.erase(daemon);
        receiveFrom(daemon);
    } while (m_linksToRead.contains(daemon));
}

void PeerExchange::countRefusedConnections()
{
    while (m_routerMonitor.next().has_value()) {
        m_metrics.count("connections_refused", "handshake");
    }
}

void PeerExchange::handleMessage(const std::string_view bytes, const std::string *const routingId, PeerLink *const link)
{
    Result<protocol::Envelope> envelope = countFailure(protocol::decode(bytes), m_metrics);
    if (!envelope.has_value()) {
        return;
    }
    // Answers are addressed by routing id, so one for a sender that gives another id or incarnation could not reach it.
    if (routingId != nullptr && *routingId != internal::routingId(envelope->sender, envelope->incarnation)) {
        m_metrics.count("messages_dropped", "sender-mismatch");
        return;
    }
    if (link != nullptr && std::holds_alternative<protocol::CallAnswer>(envelope->message)) {
        link->noteAnswered();
    }
    m_receivedEvents.emplace_back(decision::PeerMessage{.envelope = std::move(*envelope)});
}

void PeerExchange::send(const decision::SendToPeer &action)
{
    if (const std::optional<Incarnation> requester = requesterIncarnation(action.message)) {
        sendReply(action, *requester);
        return;
    }
    sendByLink(action);
}

void PeerExchange::sendByLink(const decision::SendToPeer &action)
{
    const auto *const request = std::get_if<protocol::CallRequest>(&action.message);
    PendingMessage message{.bytes = encode(action.message), .call = std::nullopt};
    if (request != nullptr) {
        message.call = request->call;
    }
    m_gossipTraffic.countSent(action.message, message.bytes.size());
    if (m_links.isReplaced(action.to, action.endpoint)) {
        receiveAllFrom(action.to);
    }
    PeerLink *const link = m_links.linkTo(action.to, action.endpoint);
    if (link != nullptr && link->send(std::move(message), std::chrono::steady_clock::now())) {
        m_linksToRead.insert(action.to);
        return;
    }
    // send() may have read the event that the link has ended, so the descriptor does not signal it any more.
    m_nextLinkUpdate = {};
    m_metrics.count("messages_dropped", "send-failed");
    if (request != nullptr) {
        reportUnsent(action.to, request->call);
    }
}

void PeerExchange::sendReply(const decision::SendToPeer &action, const Incarnation receiverIncarnation)
{
    const std::string routingId = internal::routingId(action.to, receiverIncarnation);
    const std::string bytes = encode(action.message);
    m_gossipTraffic.countSent(action.message, bytes.size());
    m_isRouterToRead = true;
    try {
        const std::array<zmq::const_buffer, 2> parts{zmq::buffer(routingId), zmq::buffer(bytes)};
        const bool isSent = m_router.send(parts[0], zmq::send_flags::sndmore | zmq::send_flags::dontwait).has_value()
            && m_router.send(parts[1], zmq::send_flags::dontwait).has_value();
        if (!isSent) {
            m_metrics.count("messages_dropped", "send-failed");
        }
    } catch (const zmq::error_t &) {
        // The requesting daemon or its connection is gone, so the answer cannot be delivered.
        m_metrics.count("messages_dropped", "receiver-gone");
    }
}

void PeerExchange::reportEndedLinks()
{
    for (const EndedLink &ended : m_links.takeEnded()) {
        for (const PendingMessage &message : ended.unsent) {
            if (message.call.has_value()) {
                reportUnsent(ended.daemon, *message.call);
            }
        }
        m_metrics.count("links_ended", ended.wasOpen ? "lost" : "not-opened");
        m_receivedEvents.emplace_back(decision::PeerLost{.daemon = ended.daemon, .wasConnected = ended.wasOpen});
    }
}

void PeerExchange::reportUnsent(const DaemonId &to, const CallId call)
{
    m_receivedEvents.emplace_back(decision::SendFailed{.to = to, .call = call});
}

std::string PeerExchange::encode(const protocol::Message &message) const
{
    return protocol::encode({.sender = m_self, .incarnation = m_incarnation, .message = message});
}

} // namespace egretlatch::peer
