#ifndef EGRETLATCH_PEER_PEER_LINK_HPP
#define EGRETLATCH_PEER_PEER_LINK_HPP

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include <zmq.hpp>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/peer/socket_watch.hpp>
#include <egretlatch/settings/peer_keys.hpp>

namespace egretlatch::peer
{

/*! @brief How far the connection of a link is. */
enum class LinkState {
    opening,
    open,
    /*! @brief It was open and is lost. */
    lost,
    /*! @brief It could not be opened; nothing has left. */
    failed,
};

/*! @brief A message that waits for its link to open. */
struct PendingMessage
{
    std::string bytes;
    /*! @brief Set for a request, which has to be told of if it does not leave. */
    std::optional<CallId> call;
};

/*! @brief Where a link leads and how it makes itself known. */
struct LinkOptions
{
    DaemonId daemon;
    std::string endpoint;
    std::string routingId;
    /*! @brief The daemon's own keys; nothing without encryption. */
    std::optional<settings::PeerKeys> keys;
    /*! @brief Public key that the other side must have; empty without encryption. */
    std::string serverKey;
};

/**
 * @brief One connection to another daemon, from its opening to its loss.
 *
 * Messages are handed to ZeroMQ only once the connection is open, and ZeroMQ never opens it a second time. Otherwise
 * they would wait in ZeroMQ's queue for a daemon that is down and reach its next life as if they were new; and one that
 * is told to have failed could still leave.
 */
class PeerLink
{
public:
    /**
     * @brief Begins to open a connection.
     * @param context Context of the sockets.
     * @param watch Watches the sockets as long as the link lives; must outlive it.
     * @param options Where it leads.
     * @param number Unique among the links of the context.
     * @throws zmq::error_t If the endpoint is none.
     */
    PeerLink(zmq::context_t &context, SocketWatch &watch, LinkOptions options, std::uint64_t number);
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;
    ~PeerLink();

    /**
     * @brief Sends a message, or keeps it until the connection is open.
     * @param message The message.
     * @param now Current time.
     * @return False if there is no room for it; it will not leave then.
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
     * @brief Takes what ZeroMQ says of the connection, and sends what waited once it is open.
     * @return The state now.
     */
    LinkState update();

    /*! @brief Counts a request as answered. */
    void noteAnswered() noexcept;

    /**
     * @brief Says whether it can be closed.
     * @param now Current time.
     * @return True if it has not been used for some time and no answer is waited for.
     */
    [[nodiscard]] bool isIdle(SteadyTime now) const noexcept;

    /**
     * @brief Takes the messages that have not left.
     * @return The messages in order.
     */
    [[nodiscard]] std::deque<PendingMessage> takeUnsent();

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
    zmq::socket_t m_monitor;
    SocketSource m_messageSource;
    SocketSource m_eventSource;
    LinkState m_state{LinkState::opening};
    std::deque<PendingMessage> m_pending;
    std::uint64_t m_unanswered{};
    bool m_hasCarriedCalls{};
    SteadyTime m_lastUse;
};

/**
 * @brief Sets what all sockets towards daemons have in common.
 * @param socket The socket.
 */
void setCommonOptions(zmq::socket_t &socket);

} // namespace egretlatch::peer

#endif
