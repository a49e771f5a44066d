#include <egretlatch/peer/stream_exchange.hpp>

#include <vector>

#include <egretlatch/peer/message_rules.hpp>
#include <egretlatch/protocol/codec.hpp>

namespace egretlatch::peer
{

namespace internal
{

// At 750 daemons nobody can be connected to everybody: each connection costs descriptors and memory.
constexpr std::size_t mostStreamLinks = 128;
// Longer than this between two ticks, the process itself stood still, and what the others sent lies unread.
constexpr std::chrono::milliseconds longestTickGap{1000};
constexpr std::string_view scheme{"tcp://"};

[[nodiscard]] static std::optional<net::Endpoint> endpointOf(const std::string_view address)
{
    if (!address.starts_with(scheme)) {
        return std::nullopt;
    }
    return net::Endpoint::parse(std::string{address.substr(scheme.size())});
}

} // namespace internal

StreamExchange::StreamExchange(
    net::Poller &poller, const Clock &clock, DaemonId self, const Incarnation incarnation, Receiver receiver, account::MetricsSink &metrics)
    : m_poller{poller}
    , m_clock{clock}
    , m_self{std::move(self)}
    , m_incarnation{incarnation}
    , m_receiver{std::move(receiver)}
    , m_metrics{metrics}
    , m_gossip{metrics}
    , m_acceptor{poller,
                 clock,
                 [this](const int descriptor) {
                     auto inlet = std::make_unique<StreamInlet>(m_poller, static_cast<StreamInletListener &>(*this), descriptor, ++m_lastInlet);
                     inlet->noteUse(m_clock.steadyNow());
                     m_inlets.emplace(m_lastInlet, std::move(inlet));
                 }}
    , m_lastTick{clock.steadyNow()}
{
}

Result<void> StreamExchange::start(const net::Endpoint &endpoint)
{
    return m_acceptor.listen(endpoint);
}

void StreamExchange::send(const decision::SendToPeer &order)
{
    if (const std::optional<Incarnation> asker = askerOf(order.message)) {
        answer(order, *asker);
        return;
    }
    sendByLink(order);
}

void StreamExchange::beginIncarnation(const Incarnation incarnation)
{
    m_incarnation = incarnation;
    // Others hold a connection for that of one life.
    for (const DaemonId &daemon : linkedDaemons()) {
        endLink(daemon, true);
    }
}

void StreamExchange::tick()
{
    const SteadyTime now = m_clock.steadyNow();
    m_ended.clear();
    const bool hasStoodStill = now - m_lastTick >= internal::longestTickGap;
    m_lastTick = now;
    // A link may go while it is told of, so they are found anew by name.
    for (const DaemonId &daemon : linkedDaemons()) {
        const auto found = m_links.find(daemon);
        if (found == m_links.end()) {
            continue;
        }
        if (hasStoodStill) {
            found->second->excuse(now);
        }
        if (found->second->isIdle(now)) {
            m_links.erase(found);
        } else {
            found->second->tick(now);
        }
    }
    std::vector<std::uint64_t> over;
    for (const auto &[number, inlet] : m_inlets) {
        if (inlet->isOver(now)) {
            over.push_back(number);
        }
    }
    for (const std::uint64_t number : over) {
        onInletEnded(*m_inlets.at(number));
    }
}

void StreamExchange::onMessage(StreamLink &link, const QByteArray &message)
{
    Result<protocol::Envelope> envelope = decode(message);
    if (!envelope.has_value()) {
        return;
    }
    if (std::holds_alternative<protocol::CallAnswer>(envelope->message)) {
        link.noteAnswered();
    }
    m_receiver(decision::PeerMessage{.envelope = std::move(*envelope)});
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
        m_receiver(decision::SendFailed{.to = link.daemon(), .call = call});
    }
    m_receiver(decision::PeerLost{.daemon = link.daemon(), .wasConnected = wasOpen});
}

void StreamExchange::onMessage(StreamInlet &inlet, const QByteArray &message)
{
    inlet.noteUse(m_clock.steadyNow());
    Result<protocol::Envelope> envelope = decode(message);
    if (!envelope.has_value()) {
        return;
    }
    if (!isFrom(inlet, {envelope->sender, envelope->incarnation})) {
        m_metrics.count("messages_dropped", "sender-mismatch");
        return;
    }
    m_receiver(decision::PeerMessage{.envelope = std::move(*envelope)});
}

void StreamExchange::onInletEnded(StreamInlet &inlet)
{
    const std::uint64_t number = inlet.number();
    const auto sender = m_senderOf.find(number);
    if (sender != m_senderOf.end()) {
        const auto newest = m_inletOf.find(sender->second);
        if (newest != m_inletOf.end() && newest->second == number) {
            m_inletOf.erase(newest);
        }
        m_senderOf.erase(sender);
    }
    m_inlets.erase(number);
}

Result<protocol::Envelope> StreamExchange::decode(const QByteArray &message)
{
    return decodeCounted({message.constData(), static_cast<std::size_t>(message.size())}, m_metrics);
}

bool StreamExchange::isFrom(const StreamInlet &inlet, const Sender &sender)
{
    const auto known = m_senderOf.find(inlet.number());
    if (known != m_senderOf.end()) {
        return known->second == sender;
    }
    // The first message names the sender. A daemon whose connection broke opens another before the end of the old one is
    // known, and waits for its answers on the newest.
    m_senderOf.emplace(inlet.number(), sender);
    m_inletOf.insert_or_assign(sender, inlet.number());
    return true;
}

void StreamExchange::sendByLink(const decision::SendToPeer &order)
{
    const auto *const request = std::get_if<protocol::CallRequest>(&order.message);
    StreamLink::Waiting message{.frame = frame(order.message), .call = std::nullopt};
    if (request != nullptr) {
        message.call = request->call;
    }
    StreamLink *const link = linkTo(order.to, order.endpoint);
    if (link != nullptr && link->send(std::move(message), m_clock.steadyNow())) {
        return;
    }
    m_metrics.count("messages_dropped", "send-failed");
    if (request != nullptr) {
        m_receiver(decision::SendFailed{.to = order.to, .call = request->call});
    }
}

void StreamExchange::answer(const decision::SendToPeer &order, const Incarnation receiver)
{
    const auto number = m_inletOf.find({order.to, receiver});
    if (number == m_inletOf.end()) {
        // The daemon that asked has gone, or its connection has; nobody is there to take the answer.
        m_metrics.count("messages_dropped", "receiver-gone");
        return;
    }
    if (!m_inlets.at(number->second)->send(frame(order.message))) {
        m_metrics.count("messages_dropped", "send-failed");
    }
}

StreamLink *StreamExchange::linkTo(const DaemonId &daemon, const std::string &endpoint)
{
    const std::optional<net::Endpoint> address = internal::endpointOf(endpoint);
    const auto found = m_links.find(daemon);
    if (found != m_links.end() && (!address.has_value() || found->second->endpoint() == *address)) {
        return found->second.get();
    }
    if (!address.has_value()) {
        return nullptr;
    }
    if (found != m_links.end()) {
        // The VM was replaced and its daemon has another address now; nothing will come from the old one.
        endLink(daemon, true);
    }
    if (m_links.size() >= internal::mostStreamLinks && !makeRoom()) {
        return nullptr;
    }
    auto link = std::make_unique<StreamLink>(m_poller, m_clock, static_cast<StreamLinkListener &>(*this), daemon, *address);
    if (!link->open()) {
        return nullptr;
    }
    return m_links.insert_or_assign(daemon, std::move(link)).first->second.get();
}

bool StreamExchange::makeRoom()
{
    const StreamLink *oldest = nullptr;
    for (const auto &[daemon, link] : m_links) {
        const bool isOlder = oldest == nullptr || link->lastUse() < oldest->lastUse();
        if (!link->isWaiting() && isOlder) {
            oldest = link.get();
        }
    }
    if (oldest == nullptr) {
        return false;
    }
    endLink(oldest->daemon(), false);
    return true;
}

QByteArray StreamExchange::frame(const protocol::Message &message)
{
    const std::string bytes = protocol::encode({.sender = m_self, .incarnation = m_incarnation, .message = message});
    m_gossip.noteSent(message, bytes.size());
    return frameOf(bytes);
}

} // namespace egretlatch::peer
