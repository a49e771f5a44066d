#ifndef EGRETLATCH_HTTP_CLIENT_CONNECTION_HPP
#define EGRETLATCH_HTTP_CLIENT_CONNECTION_HPP

#include <functional>
#include <variant>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/http/reader.hpp>
#include <egretlatch/net/tcp_stream.hpp>

namespace egretlatch::http
{

/*! @brief Why a request has no answer. */
enum class Failure {
    /*! @brief No connection opened; nothing of the request has left. */
    neverConnected,
    /*! @brief The connection ended or broke the protocol before the whole answer came; the request may have run. */
    lost,
    /*! @brief No whole answer came in the time given; the request may be running. */
    timedOut,
};

using Outcome = std::variant<Response, Failure>;

/*! @brief A request that is to be sent. */
struct OutgoingRequest
{
    QByteArray bytes;
    /*! @brief Tells an answer to this request from one to an earlier request that came late. */
    std::function<bool(const Response &)> isMatchingResponse;
    /*! @brief Called exactly once, unless the request is cancelled. */
    std::function<void(Outcome)> onResult;
    SteadyTime deadline;
};

class ClientConnection;

/*! @brief Told when a connection is free for the next request, or over. */
class ClientConnectionListener
{
public:
    virtual ~ClientConnectionListener() = default;

    virtual void onFree(ClientConnection &connection) = 0;

    /*! @brief It may be destroyed once the call stack has unwound. */
    virtual void onClosed(ClientConnection &connection) = 0;
};

/*! @brief A connection to a server: one request at a time. */
class ClientConnection final : private net::StreamListener
{
public:
    ClientConnection(net::Poller &poller, ClientConnectionListener &listener, const Clock &clock, const ReadLimits &limits);

    /**
     * @brief Opens the connection and sends the first request.
     * @param endpoint Where to.
     * @param outgoing The request.
     */
    void open(const net::Endpoint &endpoint, OutgoingRequest outgoing);

    /**
     * @brief Sends a request on a free connection.
     * @param outgoing The request.
     */
    void send(OutgoingRequest outgoing);

    /*! @brief Forgets the request that is under way and closes; no result follows. */
    void cancel();

    /*! @brief Ends what takes too long; to be called now and then. */
    void checkTimes();

    [[nodiscard]] bool isFree() const noexcept
    {
        return !m_isBusy && !m_isOver;
    }

    /*! @brief Time up to which the server keeps it open without a request, as far as known. */
    [[nodiscard]] SteadyTime freeUntil() const noexcept
    {
        return m_freeUntil;
    }

    void close();

private:
    void onOpen() override;
    void onBytes(const QByteArray &bytes) override;
    void onEnd(net::StreamEnd end) override;
    void takeAnswers();
    void takeAnswer(Response response);
    void fail(Failure failure);
    void over();

    ClientConnectionListener &m_listener;
    const Clock &m_clock;
    ResponseReader m_reader;
    net::TcpStream m_stream;
    OutgoingRequest m_outgoing;
    bool m_isBusy{};
    bool m_isOpen{};
    bool m_isOver{};
    /*! @brief An answer that belongs to no request came, so another one may. */
    bool m_isSpoiled{};
    SteadyTime m_openedAt;
    SteadyTime m_freeUntil;
};

} // namespace egretlatch::http

#endif
