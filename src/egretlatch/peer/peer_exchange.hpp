#ifndef EGRETLATCH_PEER_PEER_EXCHANGE_HPP
#define EGRETLATCH_PEER_PEER_EXCHANGE_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <zmq.hpp>

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/core/error.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/peer/gossip_traffic.hpp>
#include <egretlatch/peer/link_table.hpp>
#include <egretlatch/peer/peer_authenticator.hpp>
#include <egretlatch/peer/socket_monitor.hpp>
#include <egretlatch/peer/socket_watch.hpp>
#include <egretlatch/settings/peer_keys.hpp>

namespace egretlatch::peer
{

/**
 * @brief Exchanges messages with other daemons over ZeroMQ; all calls must come from one thread.
 *
 * Requests are sent over one link for each daemon, opened on first use; answers go back through the ROUTER socket that
 * received the request. The routing id of a socket names the daemon and its incarnation.
 */
class PeerExchange
{
public:
    /*! @brief Receives the events of the exchange; may call send(). */
    using EventCallback = std::function<void(decision::Event)>;

    /**
     * @brief Builds an exchange without connections.
     * @param self Id of this daemon.
     * @param incarnation Incarnation of this daemon.
     * @param keys Keys of the daemons; nothing to disable encryption and accept any connection.
     * @param callback Receives messages, lost links and unsent requests, from within processSockets() and processPending().
     * @param metrics Receives counts of dropped messages; must outlive the exchange.
     */
    PeerExchange(DaemonId self, Incarnation incarnation, std::optional<settings::PeerKeys> keys, EventCallback callback, account::MetricsSink &metrics);
    PeerExchange(const PeerExchange &) = delete;
    PeerExchange &operator=(const PeerExchange &) = delete;
    ~PeerExchange();

    /**
     * @brief Binds the socket that other daemons connect to.
     * @param endpoint Address as `tcp://ADDRESS:PORT`.
     * @return Nothing, or `unavailable` if the address cannot be bound.
     */
    [[nodiscard]] Result<void> start(const std::string &endpoint);

    /*! @brief Reads all sockets that are ready and delivers their events; to be called when descriptor() is readable, and once a second. */
    void processSockets();

    /**
     * @brief Reads what arrived while send() used a socket; to be called after the last of a series of sends.
     *
     * A call on a ZeroMQ socket also processes its pending notifications, after which its descriptor no longer signals
     * what has arrived.
     */
    void processPending();

    /**
     * @brief Sends a message, immediately or once the link is open.
     * @param action Message and receiver; processPending() reports a request that cannot be sent.
     */
    void send(const decision::SendToPeer &action);

    /**
     * @brief Returns the descriptor that is readable when processSockets() has work to do.
     * @return The descriptor, valid as long as this object.
     */
    [[nodiscard]] int descriptor() const noexcept
    {
        return m_watch.descriptor();
    }

private:
    void updateLinks(SteadyTime now);
    [[nodiscard]] bool hasPending() const noexcept;
    void receivePending();
    void receiveFromRouter();
    void receiveFrom(const DaemonId &daemon);
    void receiveAllFrom(const DaemonId &daemon);
    void countRefusedConnections();
    void handleMessage(std::string_view bytes, const std::string *routingId, PeerLink *link);
    void sendByLink(const decision::SendToPeer &action);
    void sendReply(const decision::SendToPeer &action, Incarnation receiverIncarnation);
    void reportEndedLinks();
    void reportUnsent(const DaemonId &to, CallId call);
    [[nodiscard]] std::string encode(const protocol::Message &message) const;

    DaemonId m_self;
    Incarnation m_incarnation;
    std::optional<settings::PeerKeys> m_keys;
    EventCallback m_callback;
    account::MetricsSink &m_metrics;
    GossipTraffic m_gossipTraffic;
    zmq::context_t m_context;
    std::unique_ptr<PeerAuthenticator> m_authenticator;
    SocketWatch m_watch;
    zmq::socket_t m_router;
    SocketMonitor m_routerMonitor;
    SocketSource m_routerSource;
    SocketSource m_routerMonitorSource{.daemon = std::nullopt, .isMonitor = true};
    LinkTable m_links;
    /*! @brief Daemons whose link sockets may hold messages that their descriptors do not signal. */
    std::set<DaemonId> m_linksToRead;
    bool m_isRouterToRead{};
    std::vector<decision::Event> m_receivedEvents;
    SteadyTime m_nextLinkUpdate;
};

} // namespace egretlatch::peer

#endif
