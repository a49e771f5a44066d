#ifndef EGRETLATCH_PEER_PEER_LINK_HPP
#define EGRETLATCH_PEER_PEER_LINK_HPP

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include <zmq.hpp>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/peer/socket_monitor.hpp>
#include <egretlatch/peer/socket_watch.hpp>
#include <egretlatch/settings/peer_keys.hpp>

namespace egretlatch::peer
{

/*! @brief State of the connection of a link. */
enum class LinkState {
    opening,
    open,
    /*! @brief The connection was open and has been lost. */
    lost,
    /*! @brief The connection could not be opened; nothing was sent. */
    failed,
};

/*! @brief Message queued until its link is open. */
struct PendingMessage
{
    std::string bytes;
    /*! @brief Set for a request, which must be reported if it is not sent. */
    std::optional<CallId> call;
};

/*! @brief Destination and identity of a link. */
struct LinkOptions
{
    DaemonId daemon;
    std::string endpoint;
    std::string routingId;
    /*! @brief Keys of the local daemon; nothing without encryption. */
    std::optional<settings::PeerKeys> keys;
    /*! @brief Public key that the remote daemon must have; empty without encryption. */
    std::string serverKey;
};

/**
 * @brief Outgoing connection to another daemon, from opening to loss.
 *
 * Messages are handed to ZeroMQ only once the connection is open, and the link is closed before ZeroMQ reconnects it. Otherwise they would
 * stay in ZeroMQ's queue while a daemon is down and reach its next incarnation as if they were new, and a message already
 * reported as failed could still be sent.
 */
class PeerLink
{
public:
    /**
     * @brief Starts opening a connection.
     * @param context Context of the sockets.
     * @param watch Watches the sockets for the lifetime of the link; must outlive it.
     * @param options Destination and identity of the link.
     * @param number Number that is unique among the links of the context.
     * @throws zmq::error_t If the endpoint is invalid.
     */
    PeerLink(zmq::context_t &context, SocketWatch &watch, LinkOptions options, std::uint64_t number);
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;
    ~PeerLink();

    /**
     * @brief Sends a message, or queues it until the connection is open.
     * @param message Message to send.
     * @param now Current time.
     * @return False if the queue is full or the connection has ended; the message is then not sent.
     */
    [[nodiscard]] bool send(PendingMessage message, SteadyTime now);

    /**
     * @brief Receives a message.
     * @param message Gets the message.
     * @param now Current time.
     * @return False if there is none.
     */
    [[nodiscard]] bool receive(zmq::message_t &message, SteadyTime now);

    /**
     * @brief Processes ZeroMQ's monitor events of the connection, and sends the queued messages once it is open.
     *
     * What was received before the connection ended can still be read afterwards.
     * @return The resulting state.
     */
    LinkState update();

    /*! @brief Counts a request as answered. */
    void noteAnswered() noexcept;

    /**
     * @brief Tells whether the link can be closed.
     * @param now Current time.
     * @return True if it has not been used for some time, which is longer while answers are outstanding.
     */
    [[nodiscard]] bool isIdle(SteadyTime now) const noexcept;

    /**
     * @brief Takes the messages that have not been sent.
     * @return The messages in the order of their send() calls.
     */
    [[nodiscard]] std::deque<PendingMessage> takeUnsent();

    /**
     * @brief Takes over the messages of a link that never opened; update() sends them once this link is open.
     * @param other Link to the same daemon.
     */
    void takeOver(PeerLink &other);

    /*! @brief Tells whether update() has found that the connection was lost or could not be opened. */
    [[nodiscard]] bool hasEnded() const noexcept
    {
        return m_state == LinkState::lost || m_state == LinkState::failed;
    }

    [[nodiscard]] LinkState state() const noexcept
    {
        return m_state;
    }

    [[nodiscard]] const LinkOptions &options() const noexcept
    {
        return m_options;
    }

    [[nodiscard]] bool hasUnanswered() const noexcept
    {
        return m_unanswered > 0;
    }

    [[nodiscard]] SteadyTime lastUse() const noexcept
    {
        return m_lastUse;
    }

private:
    void handleMonitorEvent(std::uint16_t event);
    void sendPending();

    SocketWatch &m_watch;
    LinkOptions m_options;
    zmq::socket_t m_socket;
    SocketMonitor m_monitor;
    SocketSource m_messageSource;
    SocketSource m_eventSource;
    LinkState m_state{LinkState::opening};
    std::deque<PendingMessage> m_pending;
    std::uint64_t m_unanswered{};
    bool m_hasCarriedCalls{};
    SteadyTime m_lastUse;
};

/**
 * @brief Sets the options shared by all sockets that exchange messages with daemons.
 * @param socket Socket to configure; must not be bound or connected yet.
 */
void setCommonOptions(zmq::socket_t &socket);

} // namespace egretlatch::peer

#endif
