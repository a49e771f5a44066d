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
#include <egretlatch/peer/socket_watch.hpp>
#include <egretlatch/settings/peer_keys.hpp>

namespace egretlatch::peer
{

/**
 * @brief Exchanges messages with other daemons over ZeroMQ; lives on one thread.
 *
 * Requests leave by a link to each daemon, opened when first needed; answers go back by the ROUTER socket that the request
 * came in by. A socket's routing id names the daemon and its incarnation.
 */
class PeerExchange
{
public:
    /*! @brief Takes what came; may call send(). */
    using Receiver = std::function<void(decision::Event)>;

    /**
     * @brief Builds an exchange that speaks to nobody yet.
     * @param self This daemon.
     * @param incarnation Its life.
     * @param keys Keys of the daemons; nothing to speak without encryption and to let anyone in.
     * @param receiver Takes messages, lost links and requests that did not leave, from within work() and settle().
     * @param metrics Takes counts of dropped messages; must outlive the exchange.
     */
    PeerExchange(DaemonId self, Incarnation incarnation, std::optional<settings::PeerKeys> keys, Receiver receiver, account::MetricsSink &metrics);
    PeerExchange(const PeerExchange &) = delete;
    PeerExchange &operator=(const PeerExchange &) = delete;
    ~PeerExchange();

    /**
     * @brief Binds the socket that others connect to.
     * @param endpoint Address as `tcp://ADDRESS:PORT`.
     * @return Nothing, or `unavailable` if the address cannot be had.
     */
    [[nodiscard]] Result<void> start(const std::string &endpoint);

    /*! @brief Takes what came; to be called when descriptor() is readable, and once a second. */
    void processSockets();

    /**
     * @brief Takes what came unannounced while send() used a socket; to be called after the last of a row of sends.
     *
     * A socket that is used takes note of what came for it, and its descriptor then says nothing of that.
     */
    void settle();

    /**
     * @brief Sends a message, now or once the link is open.
     * @param order The message; one that cannot leave is told of by settle().
     */
    void send(const decision::SendToPeer &order);

    /**
     * @brief Gives the descriptor that is readable when work() has something to do.
     * @return The descriptor, valid as long as this object.
     */
    [[nodiscard]] int descriptor() const noexcept
    {
        return m_watch.descriptor();
    }

private:
    void sweep(SteadyTime now);
    [[nodiscard]] bool hasUnsettled() const noexcept;
    void receiveFromUsed();
    void receiveFromRouter();
    void receiveFrom(const DaemonId &daemon);
    void countRefused();
    void take(std::string_view bytes, const std::string *routingId, PeerLink *link);
    void sendByLink(const decision::SendToPeer &order);
    void answer(const decision::SendToPeer &order, Incarnation receiver);
    void reportEnded();
    void reportUnsent(const DaemonId &to, CallId call);
    [[nodiscard]] std::string encode(const protocol::Message &message) const;

    DaemonId m_self;
    Incarnation m_incarnation;
    std::optional<settings::PeerKeys> m_keys;
    Receiver m_receiver;
    account::MetricsSink &m_metrics;
    GossipTraffic m_gossip;
    zmq::context_t m_context;
    std::unique_ptr<PeerAuthenticator> m_authenticator;
    SocketWatch m_watch;
    zmq::socket_t m_router;
    zmq::socket_t m_routerMonitor;
    SocketSource m_routerSource;
    SocketSource m_routerMonitorSource{.daemon = std::nullopt, .isMonitor = true};
    LinkTable m_links;
    /*! @brief Sockets that may have something which their descriptors do not tell. */
    std::set<DaemonId> m_used;
    bool m_isRouterUsed{};
    std::vector<decision::Event> m_arrived;
    SteadyTime m_nextSweep;
};

} // namespace egretlatch::peer

#endif
