#ifndef EGRETLATCH_HTTP_SERVER_CONNECTION_HPP
#define EGRETLATCH_HTTP_SERVER_CONNECTION_HPP

#include <chrono>
#include <optional>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/http/answer_queue.hpp>
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
    PipelineLimits pipeline;

    friend bool operator==(const ServerLimits &, const ServerLimits &) = default;
};

/*! @brief Takes what happens on the connections of a server. */
class ServerConnectionListener
{
public:
    virtual ~ServerConnectionListener() = default;

    /**
     * @brief Tells whether a request may run beside others of its connection.
     * @param request The request.
     */
    [[nodiscard]] virtual bool mayOverlap(const Request &request) const = 0;

    /**
     * @brief Gives a number for the next request.
     * @param connection Where it came.
     */
    [[nodiscard]] virtual ExchangeId begin(ServerConnection &connection) = 0;

    /**
     * @brief A whole request is to be run; one answer() is to follow.
     * @param exchange Its number.
     * @param request The request.
     * @param readAt When its last bytes were read.
     */
    virtual void onRequest(ExchangeId exchange, Request request, SteadyTime readAt) = 0;

    /*! @brief The caller went away before a request was answered, or will not see its answer. */
    virtual void onAbandoned(ExchangeId exchange) = 0;

    /*! @brief The connection is over and may be destroyed once the call stack has unwound. */
    virtual void onClosed(ServerConnection &connection) = 0;
};

/**
 * @brief One caller's connection: requests that may overlap run beside one another, all are answered in order.
 *
 * The end of the connection is seen while requests are under way, so that what nobody waits for can be given up. A caller
 * that ends only its own half is taken as gone, since nothing tells it from one that has closed. What comes behind the
 * request or the answer that ends the connection is never run: the caller sends it again.
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
     * @brief Answers a request that is under way; the answer goes out when those ahead of it have.
     * @param exchange The request.
     * @param response The answer.
     */
    void answer(ExchangeId exchange, Response response);

    /*! @brief Takes no more requests and closes after those that are under way; a connection without one takes what comes next and then closes. */
    void retire();

    /*! @brief Ends the connection if the caller takes too long; to be called now and then. */
    void checkTimeouts();

    /*! @brief Closes at once, whatever is under way. */
    void close();

    /*! @brief Whether nothing of a request has come and nothing of an answer waits to be sent. */
    [[nodiscard]] bool isIdle() const noexcept
    {
        return m_queue.isEmpty() && !m_waiting.has_value() && m_reader.state() == ReadState::waiting && m_stream.unsentBytes() == 0;
    }

private:
    void onOpen() override
    {
    }
    void onBytes(const QByteArray &bytes) override;
    void onDrained() override
    {
        proceed();
    }
    void onEnd(net::StreamEnd end) override;
    void proceed();
    [[nodiscard]] bool startNext();
    [[nodiscard]] bool readNext();
    void refuse(int status);
    void ignoreFurtherRequests();
    [[nodiscard]] bool sendNext();
    void sendFinal(Response response);
    void updateReading();
    void shutDown();

    /*! @brief A request that has been read and has to wait for those ahead of it. */
    struct WaitingRequest
    {
        Request request;
        SteadyTime readAt;
        bool mayOverlap{};
    };

    ServerConnectionListener &m_listener;
    ServerLimits m_limits;
    RequestReader m_reader;
    net::TcpStream m_stream;
    const Clock &m_clock;
    /*! @brief When the connection fell idle, or the first byte of a request came, or the last answer was sent. */
    SteadyTime m_phaseStart;
    /*! @brief When bytes last came. */
    SteadyTime m_readAt;
    AnswerQueue m_queue;
    std::optional<WaitingRequest> m_waiting;
    /*! @brief The last answer of the queue ends the connection. */
    bool m_ignoresRequests{};
    /*! @brief The caller has said that it sends no more requests, and has kept to it. */
    bool m_isFinalRequest{};
    bool m_isRetiring{};
    bool m_isProceeding{};
    /*! @brief The last answer is on its way and the caller is to close. */
    bool m_isLingering{};
    bool m_isClosed{};
    bool m_hasSentContinue{};
};

} // namespace egretlatch::http

#endif
