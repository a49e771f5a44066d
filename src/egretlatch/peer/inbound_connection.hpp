#ifndef EGRETLATCH_PEER_INBOUND_CONNECTION_HPP
#define EGRETLATCH_PEER_INBOUND_CONNECTION_HPP

#include <cstdint>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/net/tcp_stream.hpp>
#include <egretlatch/peer/frame_reader.hpp>

namespace egretlatch::peer
{

class InboundConnection;

/*! @brief Receives the events of a connection that another daemon opened. */
class InboundConnectionListener
{
public:
    virtual ~InboundConnectionListener() = default;

    /**
     * @brief Handles a received message.
     * @param connection Connection that it arrived on.
     * @param message Encoded message.
     */
    virtual void onMessage(InboundConnection &connection, QByteArray message) = 0;

    /**
     * @brief Handles the end of the connection; may destroy it.
     * @param connection Connection that ended.
     */
    virtual void onInboundConnectionEnded(InboundConnection &connection) = 0;
};

/*! @brief Connection that another daemon opened: receives its requests and sends back their answers. */
class InboundConnection final : private net::StreamListener
{
public:
    /**
     * @brief Takes over an accepted connection.
     * @param poller Watches the connection; must outlive it.
     * @param listener Receives the messages and the end of the connection; must outlive it.
     * @param descriptor Socket of the connection.
     * @param number Number that is unique among the inbound connections of an exchange.
     */
    InboundConnection(net::Poller &poller, InboundConnectionListener &listener, int descriptor, std::uint64_t number);

    /**
     * @brief Sends a message.
     * @param frame Message encoded by encodeSplitFrame().
     * @return False if the remote end no longer reads or has closed the connection.
     */
    [[nodiscard]] bool send(const MessageBytes &frame);

    /**
     * @brief Sends the answer to a call.
     * @param frame Message encoded by encodeSplitFrame().
     * @return False if the remote end no longer reads or has closed the connection.
     */
    [[nodiscard]] bool sendAnswer(const MessageBytes &frame);

    /**
     * @brief Checks whether the remote end has not received an answer that was sent, and its machine is alive.
     * @return True while the end of this process would lose the answer.
     */
    [[nodiscard]] bool owesAnswer();

    /*! @brief Returns the bytes that the remote end has not taken. */
    [[nodiscard]] qsizetype unsentBytes() const noexcept
    {
        return m_stream.unsentBytes();
    }

    [[nodiscard]] std::uint64_t number() const noexcept
    {
        return m_number;
    }

    /**
     * @brief Tells whether the connection can be discarded.
     * @param now Current time.
     * @return True if its data is malformed, or no message was received for longer than any daemon keeps an unused link.
     */
    [[nodiscard]] bool isExpired(SteadyTime now) const noexcept;

    /**
     * @brief Records that a message was received.
     * @param now Current time.
     */
    void noteUse(const SteadyTime now) noexcept
    {
        m_lastUse = now;
    }

private:
    void onOpen() override;
    void onBytes(const QByteArray &bytes) override;
    void onEnd(net::StreamEnd end) override;
    [[nodiscard]] bool write(const MessageBytes &frame);

    InboundConnectionListener &m_listener;
    std::uint64_t m_number;
    net::TcpStream m_stream;
    FrameReader m_frames;
    SteadyTime m_lastUse;
    /*! @brief An answer was sent since all bytes were last known to be received. */
    bool m_hasSentAnswer{};
};

} // namespace egretlatch::peer

#endif
