#ifndef EGRETLATCH_NET_TCP_STREAM_HPP
#define EGRETLATCH_NET_TCP_STREAM_HPP

#include <chrono>

#include <QByteArray>

#include <egretlatch/net/endpoint.hpp>
#include <egretlatch/net/poller.hpp>
#include <egretlatch/net/send_queue.hpp>

namespace egretlatch::net
{

/*! @brief Reason why the receiving half of a connection ended. */
enum class StreamEnd {
    /*! @brief Orderly close by the peer: all bytes it sent were received. */
    finished,
    /*! @brief Reset or timeout: bytes may be missing. */
    broken,
    /*! @brief The connection was never established; nothing was sent. */
    notConnected,
};

/*! @brief Receives the events of a stream; may destroy the stream in onEnd() only. */
class StreamListener
{
public:
    virtual ~StreamListener() = default;

    /*! @brief Called when a connection started by open() is established. */
    virtual void onOpen() = 0;

    /**
     * @brief Called when bytes were received.
     * @param bytes The bytes; not empty.
     */
    virtual void onBytes(const QByteArray &bytes) = 0;

    /*! @brief Called when all buffered bytes have been passed to the kernel, after they had to wait. */
    virtual void onDrained()
    {
    }

    /**
     * @brief Called when the receiving half ended; nothing more is received.
     * @param end Reason.
     */
    virtual void onEnd(StreamEnd end) = 0;
};

/**
 * @brief Non-blocking TCP connection.
 *
 * Used instead of QTcpSocket, which reports a reset as an orderly close: a response delimited by the end of its connection
 * could then be truncated and look complete. Must be used from one thread.
 */
class TcpStream
{
public:
    TcpStream(Poller &poller, StreamListener &listener);
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    /*! @brief Closes the connection; unsent bytes are lost. */
    ~TcpStream();

    /**
     * @brief Starts connecting; onOpen() or onEnd() follows, never before this returns.
     * @param endpoint Remote endpoint.
     * @return False if the attempt fails immediately; no listener call follows.
     */
    [[nodiscard]] bool open(const Endpoint &endpoint);

    /**
     * @brief Takes over an accepted connection, which keeps the options inherited from the listening socket.
     * @param descriptor The connected socket.
     */
    void adopt(int descriptor);

    /**
     * @brief Sends bytes, immediately or as soon as the peer accepts them.
     * @param bytes The bytes; long ones are shared, not copied.
     */
    void write(const QByteArray &bytes);

    /*! @brief Stops or resumes reading; while stopped, TCP flow control holds the peer back, and its end is reported as `broken`. */
    void setReading(bool isReading);

    /*! @brief Stops or resumes reading; while paused, TCP flow control holds the peer back, and its orderly end waits behind its bytes. */
    void setPaused(bool isPaused);

    /*! @brief Closes the sending half once everything is sent; the peer may go on sending. */
    void finishWriting();

    /*! @brief Closes both halves immediately. */
    void close();

    [[nodiscard]] qsizetype unsentBytes() const noexcept
    {
        return m_unsent.size();
    }

    /*! @brief Returns the number of bytes that the peer has not acknowledged, including those that are still buffered here. */
    [[nodiscard]] qsizetype undeliveredBytes() const;

    /**
     * @brief Sets whether a peer may stop reading for longer than it may leave bytes unacknowledged.
     *
     * The kernel's timeout ends a connection also if the peer keeps its receive window closed while it answers probes, as a busy
     * server does that reads a long body late. With patience, isSilent() takes the place of that timeout.
     * @param isPatient True to keep a connection whose peer does not read.
     */
    void setPatience(bool isPatient);

    [[nodiscard]] bool isPatient() const noexcept
    {
        return m_isPatient;
    }

    /*! @brief Checks whether the peer has left bytes and window probes unanswered for so long that it must be considered lost. */
    [[nodiscard]] bool isSilent() const;

    [[nodiscard]] bool isOpen() const noexcept
    {
        return m_descriptor >= 0 && !m_isConnecting;
    }

private:
    void watch();
    void handleEvents(std::uint32_t events);
    void finishConnecting();
    void readAvailable();
    void flush();
    void handleSendError(int error);
    void updateInterest();
    void end(StreamEnd reason);

    Poller &m_poller;
    StreamListener &m_listener;
    int m_descriptor{-1};
    bool m_isConnecting{};
    bool m_isReading{true};
    bool m_isPaused{};
    bool m_hasEnded{};
    /*! @brief Set by an error that only the sending side has seen, as the kernel reports it to the first call alone. */
    bool m_isBroken{};
    bool m_isFinishing{};
    bool m_isPatient{};
    Poller::Interest m_interest;
    SendQueue m_unsent;
};

} // namespace egretlatch::net

#endif
