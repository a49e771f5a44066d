#ifndef EGRETLATCH_HTTP_SERVER_CONNECTION_HPP
#define EGRETLATCH_HTTP_SERVER_CONNECTION_HPP

#include <chrono>
#include <optional>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/http/reader.hpp>
#include <egretlatch/net/tcp_stream.hpp>

namespace egretlatch::http
{

class ServerConnection;

/*! @brief What a caller may send, and how long it may take. */
struct ServerLimits
{
    ReadLimits read;
    /*! @brief From the first byte of a request to the end of its header. */
    std::chrono::milliseconds headerTimeout{5000};
    /*! @brief Without a request. */
    std::chrono::milliseconds idleTimeout{30'000};

    friend bool operator==(const ServerLimits &, const ServerLimits &) = default;
};

/*! @brief Takes what happens on the connections of a server. */
class ServerConnectionListener
{
public:
    virtual ~ServerConnectionListener() = default;

    /*! @brief A whole request came; one answer() is to follow. */
    virtual void onRequest(ServerConnection &connection, Request request) = 0;

    /*! @brief The caller went away before it was answered. */
    virtual void onAbandoned(ServerConnection &connection) = 0;

    /*! @brief The connection is over and may be destroyed once the call stack has unwound. */
    virtual void onClosed(ServerConnection &connection) = 0;
};

/**
 * @brief One caller's connection: one request at a time, answered in order.
 *
 * The end of the connection is seen while a request is under way, so that what nobody waits for can be given up.
 */
class ServerConnection final : private net::StreamListener
{
public:
    /**
     * @brief Takes over an accepted connection.
     * @param poller Watches it; must outlive it.
     * @param listener Told what happens; must outlive it.
     * @param descriptor The socket.
     * @param limits What the caller may send.
     * @param clock Source of time; must outlive it.
     */
    ServerConnection(net::Poller &poller, ServerConnectionListener &listener, int descriptor, const ServerLimits &limits, const Clock &clock);

    /**
     * @brief Answers the request that is under way.
     * @param response The answer.
     */
    void answer(const Response &response);

    /*! @brief Closes after the request that is under way; a connection without one is told so with its next answer. */
    void retire() noexcept
    {
        m_isRetiring = true;
    }

    /*! @brief Ends the connection if the caller takes too long; to be called now and then. */
    void checkTimes();

    /*! @brief Closes at once, whatever is under way. */
    void close();

    /*! @brief Whether a request has been read and not been answered. */
    [[nodiscard]] bool isAwaitingAnswer() const noexcept
    {
        return m_isAwaitingAnswer;
    }

    /*! @brief Whether nothing of a request has come and nothing of an answer waits to be sent. */
    [[nodiscard]] bool isIdle() const noexcept
    {
        return !m_isAwaitingAnswer && m_reader.state() == ReadState::waiting && m_stream.unsentBytes() == 0;
    }

    /*! @brief Number of the request that is under way. */
    ExchangeId exchange;

private:
    void onOpen() override
    {
    }
    void onBytes(const QByteArray &bytes) override;
    void onEnd(net::StreamEnd end) override;
    void handOver();
    void refuseUnreadable();
    void endAfter(const Response &response);
    void over();

    ServerConnectionListener &m_listener;
    ServerLimits m_limits;
    RequestReader m_reader;
    net::TcpStream m_stream;
    const Clock &m_clock;
    /*! @brief When the connection fell idle, or the first byte of a request came, or the last answer was sent. */
    SteadyTime m_since;
    bool m_isAwaitingAnswer{};
    bool m_keepsConnection{true};
    bool m_isRetiring{};
    /*! @brief The last answer is on its way and the caller is to close. */
    bool m_isEnding{};
    bool m_isOver{};
    bool m_hasContinued{};
};

} // namespace egretlatch::http

#endif
