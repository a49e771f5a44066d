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
#include <egretlatch/peer/stream_inlet.hpp>
#include <egretlatch/peer/stream_link.hpp>

namespace egretlatch::peer
{

/**
 * @brief Exchanges messages with other daemons over TCP connections in the owner's own event loop.
 *
 * Does what PeerExchange does over ZeroMQ, for VMs where processor time is dear and the network is the platform's own: no
 * thread of its own, so a message costs one wake-up and one system call on each side. Requests leave by a link to each
 * daemon, opened when first needed; answers go back by the connection that the request came in by.
 */
class StreamExchange final : private StreamLinkListener, private StreamInletListener
{
public:
    /*! @brief Takes what came; may call send(). */
    using Receiver = std::function<void(decision::Event)>;

    /**
     * @brief Builds an exchange that speaks to nobody yet.
     * @param poller Watches the connections; must outlive it.
     * @param clock Source of time; must outlive it.
     * @param self This daemon.
     * @param incarnation Its life.
     * @param receiver Takes messages, lost links and requests that did not leave; also from within send().
     * @param metrics Takes counts of dropped messages; must outlive it.
     */
    StreamExchange(net::Poller &poller, const Clock &clock, DaemonId self, Incarnation incarnation, Receiver receiver, account::MetricsSink &metrics);

    /**
     * @brief Listens where others connect to.
     * @param endpoint Address.
     * @return Nothing, or `unavailable` if the address cannot be had.
     */
    [[nodiscard]] Result<void> start(const net::Endpoint &endpoint);

    /**
     * @brief Sends a message, now or once the link is open.
     * @param order The message; a request that cannot leave is told of as SendFailed.
     */
    void send(const decision::SendToPeer &order);

    /**
     * @brief Goes on under another incarnation; connections that were opened under the one before end.
     * @param incarnation The incarnation.
     */
    void beginIncarnation(Incarnation incarnation);

    /*! @brief Closes what is unused or silent; to be called some times a second. */
    void tick();

private:
    /*! @brief Who opened a connection: a daemon in one of its lives. */
    using Sender = std::pair<DaemonId, Incarnation>;

    void onMessage(StreamLink &link, const QByteArray &message) override;
    void onLinkEnded(StreamLink &link, bool wasOpen) override;
    void onMessage(StreamInlet &inlet, const QByteArray &message) override;
    void onInletEnded(StreamInlet &inlet) override;
    [[nodiscard]] Result<protocol::Envelope> decode(const QByteArray &message);
    [[nodiscard]] bool isFrom(const StreamInlet &inlet, const Sender &sender);
    void sendByLink(const decision::SendToPeer &order);
    void answer(const decision::SendToPeer &order, Incarnation receiver);
    [[nodiscard]] StreamLink *linkTo(const DaemonId &daemon, const std::string &endpoint);
    [[nodiscard]] bool makeRoom();
    void endLink(const DaemonId &daemon, bool wasOpen);
    [[nodiscard]] std::vector<DaemonId> linkedDaemons() const;
    [[nodiscard]] QByteArray frame(const protocol::Message &message);

    net::Poller &m_poller;
    const Clock &m_clock;
    DaemonId m_self;
    Incarnation m_incarnation;
    Receiver m_receiver;
    account::MetricsSink &m_metrics;
    GossipTraffic m_gossip;
    net::TcpAcceptor m_acceptor;
    std::map<DaemonId, std::unique_ptr<StreamLink>> m_links;
    /*! @brief Links that are over; kept until the next tick, since one may be ended while it delivers a message. */
    std::vector<std::unique_ptr<StreamLink>> m_ended;
    std::map<std::uint64_t, std::unique_ptr<StreamInlet>> m_inlets;
    /*! @brief The newest connection of each sender, by its number, and the sender of each connection. */
    std::map<Sender, std::uint64_t> m_inletOf;
    std::map<std::uint64_t, Sender> m_senderOf;
    std::uint64_t m_lastInlet{};
    SteadyTime m_lastTick;
};

} // namespace egretlatch::peer

#endif
