#ifndef EGRETLATCH_DAEMON_PEER_THREAD_HPP
#define EGRETLATCH_DAEMON_PEER_THREAD_HPP

#include <atomic>
#include <optional>
#include <string>
#include <thread>

#include <egretlatch/daemon/descriptor_waker.hpp>
#include <egretlatch/daemon/rings.hpp>
#include <egretlatch/peer/peer_exchange.hpp>

namespace egretlatch::daemon
{

/*! @brief Runs the message exchange with other daemons on its own thread, connected by two rings. */
class PeerThread
{
public:
    /**
     * @brief Creates the thread without starting it.
     * @param self Id of this daemon.
     * @param incarnation Its incarnation.
     * @param keys Encryption keys; without them, messages are not encrypted and every peer is accepted.
     * @param receivedEvents Ring for received messages and link events; must outlive the thread.
     * @param metrics Receives the counts of dropped messages; must outlive the thread.
     */
    PeerThread(
        DaemonId self, Incarnation incarnation, std::optional<settings::PeerKeys> keys, Ring<decision::Event> &receivedEvents, account::MetricsSink &metrics);
    PeerThread(const PeerThread &) = delete;
    PeerThread &operator=(const PeerThread &) = delete;

    /*! @brief Stops the thread and waits for it. */
    ~PeerThread();

    /**
     * @brief Binds the socket and starts the thread.
     * @param endpoint Address to bind, as `tcp://ADDRESS:PORT`.
     * @param messagesToSend Ring of messages to send; must outlive the thread.
     * @return Nothing, or `unavailable` if the address cannot be bound.
     */
    [[nodiscard]] Result<void> start(const std::string &endpoint, Ring<decision::SendToPeer> &messagesToSend);

    /*! @brief Stops the thread and waits for it; must be called before the ring of messages to send is destroyed. */
    void stop();

    /**
     * @brief Returns the waker for the ring of messages to send.
     * @return Waker, valid as long as this object.
     */
    [[nodiscard]] Waker &waker() noexcept
    {
        return m_waker;
    }

private:
    void run(Ring<decision::SendToPeer> &messagesToSend);
    void push(decision::Event event);

    Ring<decision::Event> &m_receivedEvents;
    account::MetricsSink &m_metrics;
    DescriptorWaker m_waker;
    peer::PeerExchange m_exchange;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

} // namespace egretlatch::daemon

#endif
