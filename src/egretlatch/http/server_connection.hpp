#ifndef EGRETLATCH_HTTP_SERVER_CONNECTION_HPP
#define EGRETLATCH_HTTP_SERVER_CONNECTION_HPP

#include <chrono>
#include <optional>
#include <string_view>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/http/answer_queue.hpp>
#include <egretlatch/http/reader.hpp>
#include <egretlatch/net/read_budget.hpp>
#include <egretlatch/net/tcp_stream.hpp>

namespace egretlatch::http
{

class ServerConnection;

/*! @brief Reason for closing a connection whose caller is still owed bytes. */
enum class DropReason {
    /*! @brief The caller's machine acknowledges nothing and answers no probe. */
    silent,
    /*! @brief The caller has taken nothing for longer than the limit. */
    paused,
    /*! @brief Callers that take nothing hold too much memory, and this one has paused longest. */
    memory,
};

/**
 * @brief Returns a reason as text.
 * @param reason The reason.
 * @return Its name in logs and metrics.
 */
[[nodiscard]] std::string_view toString(DropReason reason) noexcept;

/*! @brief Size limits and timeouts of a caller's connection. */
struct ServerLimits
{
    ReadLimits read;
    /*! @brief Maximum time from the first byte of a request to the end of its header. */
    std::chrono::milliseconds headerTimeout{5000};
    /*! @brief Maximum time without a request. */
    std::chrono::milliseconds idleTimeout{30'000};
    /*! @brief Maximum time for which a caller that is alive may take nothing of an answer. */
    std::chrono::milliseconds pauseLimit{30'000};
    PipelineLimits pipeline;

    friend bool operator==(const ServerLimits &, const ServerLimits &) = default;
};

/*! @brief Receives the events of the connections of a server. */
class ServerConnectionListener
{
public:
    virtual ~ServerConnectionListener() = default;

    /**
     * @brief Checks whether a request may run concurrently with others of its connection.
     * @param request The request.
     */
    [[nodiscard]] virtual bool mayOverlap(const Request &request) const = 0;

    /**
     * @brief Allocates the identifier of the next request.
     * @param connection Connection on which it was received.
     */
    [[nodiscard]] virtual ExchangeId begin(ServerConnection &connection) = 0;

    /**
     * @brief Called with a complete request; has to be followed by one answer().
     * @param exchange Its identifier.
     * @param request The request.
     * @param readAt Time at which its last bytes were read.
     */
    virtual void onRequest(ExchangeId exchange, Request request, SteadyTime readAt) = 0;

    /*! @brief Called when the connection has received bytes. */
    virtual void onPartReceived(ServerConnection &connection) = 0;

    /*! @brief Called when the caller disconnected before a request was answered, or will not receive the answer. */
    virtual void onAbandoned(ExchangeId exchange) = 0;

    /**
     * @brief Called before a connection is closed whose caller is still owed bytes.
     * @param reason The reason.
     * @param undelivered Bytes that the caller does not get.
     */
    virtual void onDropped(DropReason reason, qsizetype undelivered) = 0;

    /*! @brief Called when the connection is closed; it may be destroyed once the call stack has unwound. */
    virtual void onClosed(ServerConnection &connection) = 0;
};

/**
 * @brief Connection of one caller: requests that may overlap run concurrently, all are answered in order.
 *
 * The end of the connection is detected while requests are in progress, so that abandoned requests can be cancelled. A
 * caller that closes only its sending half is treated as disconnected, since it cannot be told from one that has closed
 * both. Requests that follow the request or the answer that ends the connection are never run: the caller resends them.
 */
class ServerConnection final : public net::BudgetedReader, private net::StreamListener
{
public:
    /**
     * @brief Takes over an accepted connection.
     * @param poller Watches the socket; must outlive the connection.
     * @param listener Receives the events; must outlive the connection.
     * @param descriptor The connected socket.
     * @param limits Size limits and timeouts.
     * @param clock Source of time; must outlive the connection.
     */
    ServerConnection(net::Poller &poller, ServerConnectionListener &listener, int descriptor, const ServerLimits &limits, const Clock &clock);

    /**
     * @brief Sets the limits; a request that is being read keeps those of its size.
     * @param limits The limits; those of pipelining hold for the next connection.
     */
    void setLimits(const ServerLimits &limits);

    /**
     * @brief Answers a request in progress; the answer is sent after those of all earlier requests.
     * @param exchange The request.
     * @param response The answer.
     */
    void answer(ExchangeId exchange, Response response);

    /*! @brief Accepts no more requests and closes after those in progress; an idle connection still serves what it receives next, then closes. */
    void retire();

    /*! @brief Closes the connection if the caller exceeds a timeout; call it periodically. */
    void checkTimeouts();

    /*! @brief Closes the connection immediately; requests in progress are abandoned. */
    void close();

    /**
     * @brief Closes the connection though its caller is owed bytes.
     * @param reason The reason, passed on to the listener.
     */
    void drop(DropReason reason);

    [[nodiscard]] qsizetype receivedBytes() const override
    {
        return m_isClosed ? 0 : m_reader.heldBytes();
    }

    [[nodiscard]] bool isPaused() const override
    {
        return m_isPaused;
    }

    void setPaused(bool isPaused) override;

    /*! @brief Returns the bytes of answers that are held here because the caller does not take them. */
    [[nodiscard]] qsizetype heldBytes() const noexcept
    {
        return m_stream.unsentBytes();
    }

    /*! @brief Returns the time at which the caller was last seen to take bytes; meaningful while bytes are held. */
    [[nodiscard]] SteadyTime lastProgress() const noexcept
    {
        return m_lastProgress;
    }

    /*! @brief Checks whether no request is in progress or partly received and no answer waits to be sent. */
    [[nodiscard]] bool isIdle() const noexcept
    {
        return m_queue.isEmpty() && !m_waiting.has_value() && m_reader.state() == ReadState::waiting && m_stream.unsentBytes() == 0;
    }

    /*! @brief Checks whether the caller is owed an answer, or bytes of one that it has not received. */
    [[nodiscard]] bool isOwed() const
    {
        return !m_isClosed && (!m_queue.isEmpty() || m_stream.undeliveredBytes() > 0);
    }

private:
    void onOpen() override
    {
    }
    void onBytes(const QByteArray &bytes) override;
    void onDrained() override;
    void onEnd(net::StreamEnd end) override;
    void proceed();
    [[nodiscard]] bool startNext();
    [[nodiscard]] bool readNext();
    void refuse(int status);
    void ignoreFurtherRequests();
    [[nodiscard]] bool sendNext();
    void sendFinal(Response response);
    void write(const Response &response);
    void checkDelivery();
    void updateReading();
    void shutDown();

    /*! @brief Parsed request that has to wait for earlier ones. */
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
    /*! @brief Time at which the connection became idle, or the first byte of a request was received. */
    SteadyTime m_phaseStart;
    /*! @brief Time at which bytes were last received. */
    SteadyTime m_readAt;
    AnswerQueue m_queue;
    std::optional<WaitingRequest> m_waiting;
    /*! @brief Further requests are ignored; the last answer in the queue ends the connection. */
    bool m_ignoresRequests{};
    /*! @brief The caller announced that it sends no more requests, and has sent nothing since. */
    bool m_isFinalRequest{};
    bool m_isRetiring{};
    bool m_isProceeding{};
    /*! @brief The last answer has been written and the caller is expected to close. */
    bool m_isLingering{};
    /*! @brief Bytes of answers that the caller had not received when this was last checked. */
    qsizetype m_undelivered{};
    /*! @brief Time at which that number last changed. */
    SteadyTime m_lastProgress;
    bool m_isPaused{};
    bool m_isClosed{};
    bool m_hasSentContinue{};
};

} // namespace egretlatch::http

#endif
