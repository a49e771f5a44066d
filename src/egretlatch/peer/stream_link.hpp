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

/*! @brief Takes what happens on a link. */
class StreamLinkListener
{
public:
    virtual ~StreamLinkListener() = default;

    /**
     * @brief A message came.
     * @param link The link.
     * @param message Its bytes.
     */
    virtual void onMessage(StreamLink &link, const QByteArray &message) = 0;

    /**
     * @brief The link ended; it must outlive the call.
     * @param link The link.
     * @param wasOpen Whether messages may have left by it.
     */
    virtual void onLinkEnded(StreamLink &link, bool wasOpen) = 0;
};

/**
 * @brief One connection to another daemon, from its opening to its end; it is never opened a second time.
 *
 * Guards against a connection that falls silent without an end, as one across a cut network does: callers would wait on it
 * for all their time, and so would those after them. It shows as nothing heard after something was sent; the other side is
 * then asked for a sign of life, and without one the link ends. One that lives answers at once, whatever its load, since
 * that asks nothing of its server.
 */
class StreamLink final : private net::StreamListener
{
public:
    /*! @brief A message that waits for the connection to open. */
    struct PendingFrame
    {
        QByteArray frame;
        /*! @brief Set for a request, which has to be told of if it does not leave. */
        std::optional<CallId> call;
    };

    /**
     * @brief Builds a link that is not opened yet.
     * @param poller Watches the connection; must outlive the link.
     * @param clock Source of time; must outlive the link.
     * @param listener Takes messages and the end; must outlive the link.
     * @param daemon Where it leads.
     * @param endpoint Its address.
     */
    StreamLink(net::Poller &poller, const Clock &clock, StreamLinkListener &listener, DaemonId daemon, net::Endpoint endpoint);

    /**
     * @brief Begins to open it.
     * @return False if the machine refuses even to try.
     */
    [[nodiscard]] bool open();

    /**
     * @brief Sends a message, now or once the connection is open.
     * @param message The message.
     * @param now Current time.
     * @return False if there is no room for it; it will not leave then.
     */
    [[nodiscard]] bool send(PendingFrame message, SteadyTime now);

    /**
     * @brief Asks for a sign of life where one is missing, and ends the link where none comes; may destroy it.
     * @param now Current time.
     */
    void tick(SteadyTime now);

    /*! @brief Closes it without telling of it. */
    void close();

    /*! @brief Counts a request as answered. */
    void noteAnswered() noexcept;

    /*! @brief Forgets how long nothing was heard: this process itself stood still. */
    void resetSilence(SteadyTime now);

    /**
     * @brief Says whether it can be closed.
     * @param now Current time.
     * @return True if it has not been used for some time.
     */
    [[nodiscard]] bool isIdle(SteadyTime now) const noexcept;

    /**
     * @brief Takes the requests that have not left.
     * @return Their calls in order.
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

    /*! @brief Whether something is to be heard: an answer, or anything since something was sent. */
    [[nodiscard]] bool isAwaitingReply() const noexcept
    {
        return m_awaitingSince.has_value();
    }

private:
    void onOpen() override;
    void onBytes(const QByteArray &bytes) override;
    void onEnd(net::StreamEnd end) override;
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
    /*! @brief Since when something is to be heard. */
    std::optional<SteadyTime> m_awaitingSince;
    SteadyTime m_lastPing;
};

} // namespace egretlatch::peer

#endif
