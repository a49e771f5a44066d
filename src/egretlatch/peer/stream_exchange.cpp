#include <egretlatch/peer/stream_exchange.hpp>

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

#include <egretlatch/peer/message_rules.hpp>
#include <egretlatch/protocol/codec.hpp>

namespace egretlatch::peer
{

namespace internal
{

// A full mesh is not affordable at 750 daemons: each connection costs descriptors and memory.
constexpr std::size_t maxStreamLinks = 128;
// A longer gap between two ticks means that this process was paused and that received data is still unread.
constexpr std::chrono::milliseconds maxTickGap{1000};
constexpr std::string_view scheme{"tcp://"};

[[nodiscard]] static std::optional<net::Endpoint> parseEndpoint(const std::string_view address)
{
    if (!address.starts_with(scheme)) {
        return std::nullopt;
    }
    return net::Endpoint::parse(std::string{address.substr(scheme.size())});
}

} // namespace internal

StreamExchange::StreamExchange(
    net::Poller &poller, const Clock &clock, DaemonId self, const Incarnation incarnation, EventCallback callback, account::MetricsSink &metrics)
    : m_poller{poller}
    , m_clock{clock}
    , m_self{std::move(self)}
    , m_incarnation{incarnation}
    , m_callback{std::move(callback)}
    , m_metrics{metrics}
    , m_gossipTraffic{metrics}
    , m_acceptor{poller,
                 clock,
                 [this](const int descriptor) {
                     auto connection =
                         std::make_unique<InboundConnection>(m_poller, static_cast<InboundConnectionListener &>(*this), descriptor, ++m_lastInboundNumber);
                     connection->noteUse(m_clock.steadyNow());
                     m_inboundConnections.emplace(m_lastInboundNumber, std::move(connection));
                 }}
    , m_lastTick{clock.steadyNow()}
{
}

Result<void> StreamExchange::start(const net::Endpoint &endpoint)
{
    return m_acceptor.listen(endpoint);
}

void StreamExchange::send(const decision::SendToPeer &action)
{
    if (const std::optional<Incarnation> requester = requesterIncarnation(action.message)) {
        sendReply(action, *requester);
        return;
    }
    sendByLink(action);
}

void StreamExchange::beginIncarnation(const Incarnation incarnation)
{
    m_incarnation = incarnation;
    // Other daemons bind each connection to one incarnation.
    for (const DaemonId &daemon : linkedDaemons()) {
        endLink(daemon, true);
    }
}

bool StreamExchange::owesAnswers()
{
    return std::any_of(m_inboundConnections.begin(), m_inboundConnections.end(), [](const auto &entry) {
        return entry.second->owesAnswer();
    });
}

qsizetype StreamExchange::unsentReplyBytes() const
{
    return std::accumulate(m_inboundConnections.begin(), m_inboundConnections.end(), qsizetype{}, [](const qsizetype sum, const auto &entry) {
        return sum + entry.second->unsentBytes();
    });
}

void StreamExchange::tick()
{
    const SteadyTime now = m_clock.steadyNow();
    m_ended.clear();
    const bool wasPaused = now - m_lastTick >= internal::maxTickGap;
    m_lastTick = now;
    // The callback may end links, so each one is looked up again by its daemon.
    for (const DaemonId &daemon : linkedDaemons()) {
        const auto found = m_links.find(daemon);
        if (found == m_links.end()) {
            continue;
        }
        if (wasPaused) {
            found->second->resetSilence(now);
        }
        if (found->second->isIdle(now)) {
            m_links.erase(found);
        } else {
            found->second->tick(now);
        }
    }
    std::vector<std::uint64_t> expired;
    for (const auto &[number, connection] : m_inboundConnections) {
        if (connection->isExpired(now)) {
            expired.push_back(number);
        }
    }
    for (const std::uint64_t number : expired) {
        onInboundConnectionEnded(*m_inboundConnections.at(number));
    }
}

void StreamExchange::onMessage(StreamLink &link, QByteArray message)
{
    Result<protocol::Envelope> envelope = countFailure(protocol::decodeShared(std::move(message)), m_metrics);
    if (!envelope.has_value()) {
        return;
    }
    if (std::holds_alternative<protocol::CallAnswer>(envelope->message)) {
        link.noteAnswered();
    }
    m_callback(decision::PeerMessage{.envelope = std::move(*envelope)});
}

void StreamExchange::onLinkEnded(StreamLink &link, const bool wasOpen)
{
    endLink(link.daemon(), wasOpen);
}

std::vector<DaemonId> StreamExchange::linkedDaemons() const
{
    std::vector<DaemonId> daemons;
    daemons.reserve(m_links.size());
    for (const auto &[daemon, link] : m_links) {
        daemons.push_back(daemon);
    }
    return daemons;
}

void StreamExchange::endLink(const DaemonId &daemon, const bool wasOpen)
{
    const auto found = m_links.find(daemon);
    StreamLink &link = *m_ended.emplace_back(std::move(found->second));
    m_links.erase(found);
    link.close();
    const std::vector<CallId> unsent = link.takeUnsent();
    m_metrics.count("links_ended", wasOpen ? "lost" : "not-opened");
    for (const CallId call : unsent) {
        m_callback(decision::SendFailed{.to = link.daemon(), .call = call});
    }
    m_callback(decision::PeerLost{.daemon = link.daemon(), .wasConnected = wasOpen});
}

void StreamExchange::onMessage(InboundConnection &connection, QByteArray message)
{
    connection.noteUse(m_clock.steadyNow());
    Result<protocol::Envelope> envelope = countFailure(protocol::decodeShared(std::move(message)), m_metrics);
    if (!envelope.has_value()) {
        return;
    }
    if (!checkSender(connection, {envelope->sender, envelope->incarnation})) {
        m_metrics.count("messages_dropped", "sender-mismatch");
        return;
    }
    m_callback(decision::PeerMessage{.envelope = std::move(*envelope)});
}

void StreamExchange::onInboundConnectionEnded(InboundConnection &connection)
{
    const std::uint64_t number = connection.number();
    const auto sender = m_senderByConnection.find(number);
    if (sender != m_senderByConnection.end()) {
        const auto newest = m_connectionBySender.find(sender->second);
        if (newest != m_connectionBySender.end() && newest->second == number) {
            m_connectionBySender.erase(newest);
        }
        m_senderByConnection.erase(sender);
    }
    m_inboundConnections.erase(number);
}

bool StreamExchange::checkSender(const InboundConnection &connection, const Sender &sender)
{
    const auto known = m_senderByConnection.find(connection.number());
    if (known != m_senderByConnection.end()) {
        return known->second == sender;
    }
    // The first message identifies the sender. After a broken connection a daemon may open another before the end of the old
    // one is detected, and expects its answers on the newest.
    m_senderByConnection.emplace(connection.number(), sender);
    m_connectionBySender.insert_or_assign(sender, connection.number());
    return true;
}

void StreamExchange::sendByLink(const decision::SendToPeer &action)
{
    const auto *const request = std::get_if<protocol::CallRequest>(&action.message);
    StreamLink::PendingFrame message{.frame = frame(action.message), .call = std::nullopt};
    if (request != nullptr) {
        message.call = request->call;
    }
    StreamLink *const link = linkTo(action.to, action.endpoint);
    if (link != nullptr && link->send(std::move(message), m_clock.steadyNow())) {
        return;
    }
    m_metrics.count("messages_dropped", "send-failed");
    if (request != nullptr) {
        m_callback(decision::SendFailed{.to = action.to, .call = request->call});
    }
}

void StreamExchange::sendReply(const decision::SendToPeer &action, const Incarnation receiverIncarnation)
{
    const auto number = m_connectionBySender.find({action.to, receiverIncarnation});
    if (number == m_connectionBySender.end()) {
        // The requesting daemon or its connection is gone, so the answer cannot be delivered.
        m_metrics.count("messages_dropped", "receiver-gone");
        return;
    }
    InboundConnection &connection = *m_inboundConnections.at(number->second);
    const bool isAnswer = std::holds_alternative<protocol::CallAnswer>(action.message);
    const MessageBytes reply = frame(action.message);
    if (!(isAnswer ? connection.sendAnswer(reply) : connection.send(reply))) {
        m_metrics.count("messages_dropped", "send-failed");
    }
}

StreamLink *StreamExchange::linkTo(const DaemonId &daemon, const std::string &endpoint)
{
    const std::optional<net::Endpoint> address = internal::parseEndpoint(endpoint);
    const auto found = m_links.find(daemon);
    if (found != m_links.end() && (!address.has_value() || found->second->endpoint() == *address)) {
        return found->second.get();
    }
    if (!address.has_value()) {
        return nullptr;
    }
    if (found != m_links.end()) {
        // The VM was replaced and its daemon has a new address; nothing more arrives from the old one.
        endLink(daemon, true);
    }
    if (m_links.size() >= internal::maxStreamLinks && !evictLeastRecentlyUsed()) {
        return nullptr;
    }
    auto link = std::make_unique<StreamLink>(m_poller, m_clock, static_cast<StreamLinkListener &>(*this), daemon, *address);
    if (!link->open()) {
        return nullptr;
    }
    return m_links.insert_or_assign(daemon, std::move(link)).first->second.get();
}

bool StreamExchange::evictLeastRecentlyUsed()
{
    const StreamLink *oldest = nullptr;
    for (const auto &[daemon, link] : m_links) {
        const bool isOlder = oldest == nullptr || link->lastUse() < oldest->lastUse();
        if (!link->isAwaitingReply() && isOlder) {
            oldest = link.get();
        }
    }
    if (oldest == nullptr) {
        return false;
    }
    // Not reported: the daemon is well, and a PeerLost would have membership probe it. Without unanswered calls nothing unsent needs
    // an answer.
    const auto evicted = m_links.find(oldest->daemon());
    evicted->second->close();
    m_ended.push_back(std::move(evicted->second));
    m_links.erase(evicted);
    return true;
}

MessageBytes StreamExchange::frame(const protocol::Message &message)
{
    const MessageBytes bytes = protocol::encodeSplit({.sender = m_self, .incarnation = m_incarnation, .message = message});
    m_gossipTraffic.countSent(message, static_cast<std::size_t>(bytes.size()));
    return encodeSplitFrame(bytes);
}

} // namespace egretlatch::peer
