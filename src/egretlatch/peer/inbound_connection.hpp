#ifndef EGRETLATCH_PEER_INBOUND_CONNECTION_HPP
#define EGRETLATCH_PEER_INBOUND_CONNECTION_HPP

#include <cstdint>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/net/tcp_stream.hpp>
#include <egretlatch/peer/frame_reader.hpp>

namespace egretlatch::peer
{

class InboundConnection;

/*! @brief Takes what happens on a connection that another daemon opened. */
class InboundConnectionListener
{
public:
    virtual ~InboundConnectionListener() = default;

    /**
     * @brief A message came.
     * @param inlet The connection.
     * @param message Its bytes.
     */
    virtual void onMessage(InboundConnection &connection, const QByteArray &message) = 0;

    /**
     * @brief The connection ended; may destroy it.
     * @param inlet The connection.
     */
    virtual void onInboundConnectionEnded(InboundConnection &connection) = 0;
};

/*! @brief One connection that another daemon opened: its requests come in by it, and their answers go back by it. */
class InboundConnection final : private net::StreamListener
{
public:
    /**
     * @brief Takes a connection over.
     * @param poller Watches it; must outlive it.
     * @param listener Takes messages and the end; must outlive it.
     * @param descriptor Its socket.
     * @param number Unique among the inlets of an exchange.
     */
    InboundConnection(net::Poller &poller, InboundConnectionListener &listener, int descriptor, std::uint64_t number);

    /**
     * @brief Sends a message.
     * @param frame The message in its frame.
     * @return False if the other side takes nothing, or has gone.
     */
    [[nodiscard]] bool send(const QByteArray &frame);

    [[nodiscard]] std::uint64_t number() const noexcept
    {
        return m_number;
    }

    /**
     * @brief Says whether it can be forgotten.
     * @param now Current time.
     * @return True if it is broken, or nothing came for longer than any daemon keeps an unused link.
     */
    [[nodiscard]] bool isExpired(SteadyTime now) const noexcept;

    /**
     * @brief Notes that something came.
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

    InboundConnectionListener &m_listener;
    std::uint64_t m_number;
    net::TcpStream m_stream;
    FrameReader m_frames;
    SteadyTime m_lastUse;
};

} // namespace egretlatch::peer

#endif
