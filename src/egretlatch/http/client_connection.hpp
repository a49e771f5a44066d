#ifndef EGRETLATCH_HTTP_CLIENT_CONNECTION_HPP
#define EGRETLATCH_HTTP_CLIENT_CONNECTION_HPP

#include <functional>
#include <variant>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/http/answer_pairing.hpp>
#include <egretlatch/http/reader.hpp>
#include <egretlatch/net/read_budget.hpp>
#include <egretlatch/net/tcp_stream.hpp>

namespace egretlatch::http
{

/*! @brief Reason why a request has no answer. */
enum class Failure {
    /*! @brief No connection was established; nothing of the request was sent. */
    notConnected,
    /*! @brief The connection ended or violated the protocol before the answer was complete; the request may have run. */
    lost,
    /*! @brief The answer was not complete by the deadline; the request may be running. */
    timedOut,
};

using Outcome = std::variant<Response, Failure>;

/*! @brief Request to be sent. */
struct OutgoingRequest
{
    MessageBytes bytes;
    /*! @brief Pairs an answer. After an unnamed one the connection is not reused: a second copy would pass for the next answer. */
    std::function<AnswerPairing(const Response &)> pair;
    /*! @brief Called exactly once, unless the request is cancelled. */
    std::function<void(Outcome)> onResult;
    SteadyTime deadline;
    /*! @brief False for a HEAD request, whose answer ends with its header. */
    bool hasAnswerBody{true};
};

class ClientConnection;

/*! @brief Notified when a connection becomes idle, and so is ready for the next request, or is closed. */
class ClientConnectionListener
{
public:
    virtual ~ClientConnectionListener() = default;

    virtual void onIdle(ClientConnection &connection) = 0;

    /*! @brief Called when the connection has received a part of an answer. */
    virtual void onPartReceived(ClientConnection &connection) = 0;

    /*! @brief Called when the connection is closed; it may be destroyed once the call stack has unwound. */
    virtual void onClosed(ClientConnection &connection) = 0;
};

/*! @brief Connection to a server that carries one request at a time. */
class ClientConnection final : public net::BudgetedReader, private net::StreamListener
{
public:
    ClientConnection(net::Poller &poller, ClientConnectionListener &listener, const Clock &clock, const ReadLimits &limits);

    /**
     * @brief Opens the connection and sends the first request.
     * @param endpoint Remote endpoint.
     * @param outgoing The request.
     */
    void open(const net::Endpoint &endpoint, OutgoingRequest outgoing);

    /**
     * @brief Opens the connection without a request; the listener is notified when it is idle, or closed.
     * @param endpoint Remote endpoint.
     */
    void openIdle(const net::Endpoint &endpoint);

    /**
     * @brief Sends a request on an idle connection.
     * @param outgoing The request.
     */
    void send(OutgoingRequest outgoing);

    /*! @brief Drops the request in progress and closes the connection; no result follows. */
    void cancel();

    /*! @brief Enforces the timeouts; call it periodically. */
    void checkTimeouts();

    [[nodiscard]] bool isIdle() const noexcept
    {
        return !m_isBusy && !m_isClosed;
    }

    /*! @brief Returns the time until which the server is expected to keep the idle connection open. */
    [[nodiscard]] SteadyTime idleUntil() const noexcept
    {
        return m_idleUntil;
    }

    void close();

    void setPaused(bool isPaused) override;

    [[nodiscard]] bool isPaused() const override
    {
        return m_isPaused;
    }

    [[nodiscard]] qsizetype receivedBytes() const override
    {
        return m_isBusy ? m_reader.heldBytes() : 0;
    }

private:
    void onOpen() override;
    void onBytes(const QByteArray &bytes) override;
    void onEnd(net::StreamEnd end) override;
    void write();
    void handleAnswers();
    void handleAnswer(Response response);
    void fail(Failure failure);
    void shutDown();

    ClientConnectionListener &m_listener;
    const Clock &m_clock;
    ResponseReader m_reader;
    net::TcpStream m_stream;
    OutgoingRequest m_outgoing;
    bool m_isBusy{};
    bool m_isOpen{};
    bool m_isClosed{};
    bool m_isPaused{};
    /*! @brief An answer to another request was received, so more may follow and the connection is not reused. */
    bool m_hasForeignAnswer{};
    SteadyTime m_openedAt;
    SteadyTime m_idleUntil;
};

} // namespace egretlatch::http

#endif
