#ifndef EGRETLATCH_PEER_STREAM_EXCHANGE_HPP
#define EGRETLATCH_PEER_STREAM_EXCHANGE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/core/error.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/net/tcp_acceptor.hpp>
#include <egretlatch/peer/gossip_traffic.hpp>
#include <egretlatch/peer/inbound_connection.hpp>
#include <egretlatch/peer/stream_link.hpp>

namespace egretlatch::peer
{

/**
 * @brief Exchanges messages with other daemons over TCP connections in the owner's event loop.
 *
 * Replaces PeerExchange, which uses ZeroMQ, on VMs where processor time is scarce and the network belongs to the platform.
 * It has no thread of its own, so a message costs one wake-up and one system call on each side. Requests are sent over one
 * link for each daemon, opened on first use; answers go back over the connection that the request arrived on.
 */
class StreamExchange final : private StreamLinkListener, private InboundConnectionListener
{
public:
    /*! @brief Receives the events of the exchange; may call send(). */
    using EventCallback = std::function<void(decision::Event)>;

    /**
     * @brief Builds an exchange without connections.
     * @param poller Watches the connections; must outlive the exchange.
     * @param clock Source of time; must outlive the exchange.
     * @param self Id of this daemon.
     * @param incarnation Incarnation of this daemon.
     * @param callback Receives messages, lost links and unsent requests; also called from within send().
     * @param metrics Receives counts of dropped messages; must outlive the exchange.
     */
    StreamExchange(net::Poller &poller, const Clock &clock, DaemonId self, Incarnation incarnation, EventCallback callback, account::MetricsSink &metrics);

    /**
     * @brief Starts listening for connections of other daemons.
     * @param endpoint Address to listen on.
     * @return Nothing, or `unavailable` if the address cannot be bound.
     */
    [[nodiscard]] Result<void> start(const net::Endpoint &endpoint);

    /**
     * @brief Sends a message, immediately or once the link is open.
     * @param action Message and receiver; a request that cannot be sent is reported as SendFailed.
     */
    void send(const decision::SendToPeer &action);

    /**
     * @brief Continues under a new incarnation; closes the links opened under the previous one.
     * @param incarnation New incarnation of this daemon.
     */
    void beginIncarnation(Incarnation incarnation);

    /*! @brief Checks whether a live daemon has not received an answer that was sent to it; for a process that is about to end. */
    [[nodiscard]] bool owesAnswers();

    /*! @brief Returns the bytes of answers and other replies that their receivers have not taken. */
    [[nodiscard]] qsizetype unsentReplyBytes() const;

    /*! @brief Closes unused and unresponsive connections; to be called several times a second. */
    void tick();

private:
    /*! @brief Opener of a connection: a daemon and its incarnation. */
    using Sender = std::pair<DaemonId, Incarnation>;

    void onMessage(StreamLink &link, QByteArray message) override;
    void onLinkEnded(StreamLink &link, bool wasOpen) override;
    void onMessage(InboundConnection &connection, QByteArray message) override;
    void onInboundConnectionEnded(InboundConnection &connection) override;
    [[nodiscard]] bool checkSender(const InboundConnection &connection, const Sender &sender);
    void sendByLink(const decision::SendToPeer &action);
    void sendReply(const decision::SendToPeer &action, Incarnation receiverIncarnation);
    [[nodiscard]] StreamLink *linkTo(const DaemonId &daemon, const std::string &endpoint);
    [[nodiscard]] bool evictLeastRecentlyUsed();
    void endLink(const DaemonId &daemon, bool wasOpen);
    [[nodiscard]] std::vector<DaemonId> linkedDaemons() const;
    [[nodiscard]] MessageBytes frame(const protocol::Message &message);

    net::Poller &m_poller;
    const Clock &m_clock;
    DaemonId m_self;
    Incarnation m_incarnation;
    EventCallback m_callback;
    account::MetricsSink &m_metrics;
    GossipTraffic m_gossipTraffic;
    net::TcpAcceptor m_acceptor;
    std::map<DaemonId, std::unique_ptr<StreamLink>> m_links;
    /*! @brief Ended links; destroyed at the next tick, since a link may be ended while it delivers a message. */
    std::vector<std::unique_ptr<StreamLink>> m_ended;
    std::map<std::uint64_t, std::unique_ptr<InboundConnection>> m_inboundConnections;
    /*! @brief Number of the newest connection of each sender, and the sender of each connection. */
    std::map<Sender, std::uint64_t> m_connectionBySender;
    std::map<std::uint64_t, Sender> m_senderByConnection;
    std::uint64_t m_lastInboundNumber{};
    SteadyTime m_lastTick;
};

} // namespace egretlatch::peer

#endif
