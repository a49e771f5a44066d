#ifndef EGRETLATCH_NET_TCP_STREAM_HPP
#define EGRETLATCH_NET_TCP_STREAM_HPP

#include <chrono>

#include <QByteArray>

#include <egretlatch/net/endpoint.hpp>
#include <egretlatch/net/poller.hpp>

namespace egretlatch::net
{

/*! @brief How the other side's half of a connection ended. */
enum class StreamEnd {
    /*! @brief The other side closed it in order: what came is all it sent. */
    finished,
    /*! @brief Reset or timed out: bytes may be missing. */
    broken,
    /*! @brief It never opened; nothing has left. */
    neverOpened,
};

/*! @brief Takes what happens on a stream; may destroy the stream in onEnd() only. */
class StreamListener
{
public:
    virtual ~StreamListener() = default;

    /*! @brief A connection that was asked for is open. */
    virtual void onOpen() = 0;

    /**
     * @brief Bytes came in.
     * @param bytes The bytes; not empty.
     */
    virtual void onBytes(const QByteArray &bytes) = 0;

    /*! @brief All that was written has been taken by the machine, after it had to wait. */
    virtual void onDrained()
    {
    }

    /**
     * @brief The other side's half ended; nothing more comes.
     * @param end How.
     */
    virtual void onEnd(StreamEnd end) = 0;
};

/**
 * @brief A TCP connection without blocking calls.
 *
 * Stands in place of QTcpSocket, which reports a reset as an end in order: an answer that ends with its connection could
 * then be cut short and look complete. Lives on one thread.
 */
class TcpStream
{
public:
    TcpStream(Poller &poller, StreamListener &listener);
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    /*! @brief Closes the connection; bytes not sent yet are lost. */
    ~TcpStream();

    /**
     * @brief Opens a connection; onOpen() or onEnd() follows, never before this returns.
     * @param endpoint Where to.
     * @return False if the machine refuses even to try.
     */
    [[nodiscard]] bool open(const Endpoint &endpoint);

    /**
     * @brief Takes over an accepted connection, with the options of the socket that accepted it.
     * @param descriptor Its socket.
     */
    void adopt(int descriptor);

    /**
     * @brief Sends bytes, now or as the other side takes them.
     * @param bytes The bytes.
     */
    void write(const QByteArray &bytes);

    /*! @brief Stops or resumes reading; while stopped, the other side is held back by its window, and its end is told as a break. */
    void setReading(bool isReading);

    /*! @brief Ends this side's half once everything is sent; the other side may go on sending. */
    void finishWriting();

    /*! @brief Closes both halves at once. */
    void close();

    [[nodiscard]] qsizetype unsentBytes() const noexcept
    {
        return m_unsent.size();
    }

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
    void updateInterest();
    void end(StreamEnd reason);

    Poller &m_poller;
    StreamListener &m_listener;
    int m_descriptor{-1};
    bool m_isConnecting{};
    bool m_isReading{true};
    bool m_hasEnded{};
    bool m_isFinishing{};
    Poller::Interest m_interest;
    QByteArray m_unsent;
};

} // namespace egretlatch::net

#endif
