#ifndef EGRETLATCH_PEER_STREAM_LINK_HPP
#define EGRETLATCH_PEER_STREAM_LINK_HPP

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/net/tcp_stream.hpp>
#include <egretlatch/peer/frame_reader.hpp>

namespace egretlatch::peer
{

class StreamLink;

/*! @brief Receives the events of a link. */
class StreamLinkListener
{
public:
    virtual ~StreamLinkListener() = default;

    /**
     * @brief Handles a received message.
     * @param link Link that it arrived on.
     * @param message Encoded message.
     */
    virtual void onMessage(StreamLink &link, QByteArray message) = 0;

    /**
     * @brief Handles the end of a link, which must outlive the call.
     * @param link Link that ended.
     * @param wasOpen True if messages may have been sent over it.
     */
    virtual void onLinkEnded(StreamLink &link, bool wasOpen) = 0;
};

/**
 * @brief Outgoing connection to another daemon, from opening to end; it is never reopened.
 *
 * Detects a connection that stops responding without being closed, as happens in a network partition: callers would wait
 * on it until their deadlines, and so would later ones. If nothing is received after a send, a keepalive request is sent,
 * and the link ends if that stays unanswered. A running daemon answers it immediately under any load, since its backend
 * server is not involved.
 */
class StreamLink final : private net::StreamListener
{
public:
    /*! @brief Message queued until the connection is open. */
    struct PendingFrame
    {
        MessageBytes frame;
        /*! @brief Set for a request, which must be reported if it is not sent. */
        std::optional<CallId> call;
    };

    /**
     * @brief Builds a link that is not opened yet.
     * @param poller Watches the connection; must outlive the link.
     * @param clock Source of time; must outlive the link.
     * @param listener Receives the messages and the end of the link; must outlive the link.
     * @param daemon Daemon at the remote end.
     * @param endpoint Address of that daemon.
     */
    StreamLink(net::Poller &poller, const Clock &clock, StreamLinkListener &listener, DaemonId daemon, net::Endpoint endpoint);

    /**
     * @brief Starts opening the connection.
     * @return False if the operating system rejects the attempt at once.
     */
    [[nodiscard]] bool open();

    /**
     * @brief Sends a message, immediately or once the connection is open.
     * @param message Message to send.
     * @param now Current time.
     * @return False if the queue or the send buffer is full or the link has ended; the message is then not sent.
     */
    [[nodiscard]] bool send(PendingFrame message, SteadyTime now);

    /**
     * @brief Sends a keepalive request when the remote end is silent, and ends the link when it stays silent; may destroy the
     * link.
     * @param now Current time.
     */
    void tick(SteadyTime now);

    /*! @brief Closes the link without notifying the listener. */
    void close();

    /*! @brief Counts a request as answered. */
    void noteAnswered() noexcept;

    /*! @brief Restarts the measurement of silence at the given time, after a pause of this process. */
    void resetSilence(SteadyTime now);

    /**
     * @brief Tells whether the link can be closed.
     * @param now Current time.
     * @return True if it has not been used for some time and nothing is expected from the remote end.
     */
    [[nodiscard]] bool isIdle(SteadyTime now) const noexcept;

    /**
     * @brief Takes the requests that have not been sent.
     * @return Their call ids in the order of their send() calls.
     */
    [[nodiscard]] std::vector<CallId> takeUnsent();

    [[nodiscard]] const DaemonId &daemon() const noexcept
    {
        return m_daemon;
    }

    [[nodiscard]] const net::Endpoint &endpoint() const noexcept
    {
        return m_endpoint;
    }

    [[nodiscard]] SteadyTime lastUse() const noexcept
    {
        return m_lastUse;
    }

    /*! @brief Tells whether something is expected from the remote end: an outstanding answer, or any data after a send. */
    [[nodiscard]] bool isAwaitingReply() const noexcept
    {
        return m_awaitingSince.has_value();
    }

private:
    void onOpen() override;
    void onBytes(const QByteArray &bytes) override;
    void onEnd(net::StreamEnd end) override;
    void write(const PendingFrame &message);
    void end();

    const Clock &m_clock;
    StreamLinkListener &m_listener;
    DaemonId m_daemon;
    net::Endpoint m_endpoint;
    net::TcpStream m_stream;
    FrameReader m_frames;
    std::deque<PendingFrame> m_pending;
    bool m_wasOpen{};
    bool m_hasEnded{};
    SteadyTime m_openedAt;
    SteadyTime m_lastUse;
    std::uint64_t m_unanswered{};
    /*! @brief Time since which data has been expected from the remote end; nothing while none is expected. */
    std::optional<SteadyTime> m_awaitingSince;
    SteadyTime m_lastPing;
};

} // namespace egretlatch::peer

#endif
