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

/*! @brief Runs the exchange with other daemons on a thread of its own, between two rings. */
class PeerThread
{
public:
    /**
     * @brief Builds the thread without starting it.
     * @param self This daemon.
     * @param incarnation Its life.
     * @param keys Keys of the daemons; nothing to speak without encryption and to let anyone in.
     * @param receivedEvents Ring for what comes in; must outlive the thread.
     * @param metrics Takes counts of dropped messages; must outlive the thread.
     */
    PeerThread(
        DaemonId self, Incarnation incarnation, std::optional<settings::PeerKeys> keys, Ring<decision::Event> &receivedEvents, account::MetricsSink &metrics);
    PeerThread(const PeerThread &) = delete;
    PeerThread &operator=(const PeerThread &) = delete;

    /*! @brief Stops the thread and waits for it. */
    ~PeerThread();

    /**
     * @brief Binds the socket and starts the thread.
     * @param endpoint Address as `tcp://ADDRESS:PORT`.
     * @param messagesToSend Ring of what is to be sent; must outlive the thread.
     * @return Nothing, or `unavailable` if the address cannot be had.
     */
    [[nodiscard]] Result<void> start(const std::string &endpoint, Ring<decision::SendToPeer> &messagesToSend);

    /*! @brief Stops the thread and waits for it; to be called before the messagesToSend ring ends. */
    void stop();

    /**
     * @brief Gives the waker for the messagesToSend ring.
     * @return The waker, valid as long as this object.
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
