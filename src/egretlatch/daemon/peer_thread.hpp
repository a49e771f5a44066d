#ifndef EGRETLATCH_DAEMON_PEER_THREAD_HPP
#define EGRETLATCH_DAEMON_PEER_THREAD_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <zmq.hpp>

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/core/error.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/logger.hpp>
#include <egretlatch/core/waker.hpp>
#include <egretlatch/daemon/link_table.hpp>
#include <egretlatch/daemon/peer_authenticator.hpp>
#include <egretlatch/daemon/rings.hpp>
#include <egretlatch/settings/peer_keys.hpp>

namespace egretlatch::daemon
{

/*! @brief Wakes a thread that polls sockets, by a file descriptor that it polls too. */
class DescriptorWaker final : public Waker
{
public:
    DescriptorWaker();
    DescriptorWaker(const DescriptorWaker &) = delete;
    DescriptorWaker &operator=(const DescriptorWaker &) = delete;
    ~DescriptorWaker() override;

    void wake() override;

    /*! @brief Forgets the wakes so far; called by the polling thread. */
    void reset();

    [[nodiscard]] int descriptor() const noexcept
    {
        return m_descriptor;
    }

private:
    int m_descriptor;
};

/**
 * @brief Exchanges messages with other daemons over ZeroMQ.
 *
 * Requests leave by a link to each daemon, opened when first needed; answers go back by the ROUTER socket that the request
 * came in by. A socket's routing id names the daemon and its incarnation.
 */
class PeerThread
{
public:
    /**
     * @brief Builds the thread without starting it.
     * @param self This daemon.
     * @param incarnation Its life.
     * @param keys Keys of the daemons; nothing to speak without encryption and to let anyone in.
     * @param inward Ring for what comes in; must outlive the thread.
     * @param metrics Takes counts of dropped messages; must outlive the thread.
     */
    PeerThread(DaemonId self, Incarnation incarnation, std::optional<settings::PeerKeys> keys, Ring<decision::Event> &inward, account::MetricsSink &metrics);
    PeerThread(const PeerThread &) = delete;
    PeerThread &operator=(const PeerThread &) = delete;

    /*! @brief Stops the thread and waits for it. */
    ~PeerThread();

    /**
     * @brief Binds the socket and starts the thread.
     * @param endpoint Address as `tcp://ADDRESS:PORT`.
     * @param outward Ring of what is to be sent; must outlive the thread.
     * @return Nothing, or `unavailable` if the address cannot be had.
     */
    [[nodiscard]] Result<void> start(const std::string &endpoint, Ring<decision::SendToPeer> &outward);

    /**
     * @brief Gives the waker for the outward ring.
     * @return The waker, valid as long as this object.
     */
    [[nodiscard]] Waker &waker() noexcept
    {
        return m_waker;
    }

private:
    void run(Ring<decision::SendToPeer> &outward);
    void poll();
    void receiveFromRouter();
    void receiveFrom(PeerLink &link);
    void countRefused();
    void take(std::string_view bytes, const std::string *routingId, PeerLink *link);
    void send(const decision::SendToPeer &order);
    void sendByLink(const decision::SendToPeer &order);
    void answer(const decision::SendToPeer &order, Incarnation receiver);
    void reportEnded();
    void reportUnsent(const DaemonId &to, CallId call);
    void countBytes(const protocol::Message &message, std::size_t bytes);
    [[nodiscard]] std::string encode(const protocol::Message &message) const;

    DaemonId m_self;
    Incarnation m_incarnation;
    std::optional<settings::PeerKeys> m_keys;
    Ring<decision::Event> &m_inward;
    account::MetricsSink &m_metrics;
    DescriptorWaker m_waker;
    zmq::context_t m_context;
    std::unique_ptr<PeerAuthenticator> m_authenticator;
    zmq::socket_t m_router;
    zmq::socket_t m_routerMonitor;
    LinkTable m_links;
    SteadyTime m_nextSweep;
    std::uint64_t m_gossipBytes{};
    std::uint64_t m_gossipMessages{};
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

} // namespace egretlatch::daemon

#endif
