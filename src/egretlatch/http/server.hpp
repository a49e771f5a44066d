#ifndef EGRETLATCH_HTTP_SERVER_HPP
#define EGRETLATCH_HTTP_SERVER_HPP

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include <egretlatch/core/error.hpp>
#include <egretlatch/http/server_connection.hpp>
#include <egretlatch/net/tcp_acceptor.hpp>

namespace egretlatch::http
{

/*! @brief HTTP server. Must be used from one thread with an event loop. */
class Server final : public ServerConnectionListener
{
public:
    using RequestHandler = std::function<void(ExchangeId exchange, Request request, SteadyTime readAt)>;
    using AbandonedHandler = std::function<void(ExchangeId exchange)>;
    using OverlapRule = std::function<bool(const Request &request)>;
    using DropHandler = std::function<void(DropReason reason, qsizetype undelivered)>;

    /**
     * @brief Constructs a server that does not listen yet.
     * @param poller Watches the sockets; must outlive the server.
     * @param clock Source of time; must outlive the server.
     * @param onRequest Receives each request; has to be followed by one answer(), possibly before it returns.
     * @param onAbandoned Called when a caller has disconnected before its answer was sent.
     */
    Server(net::Poller &poller, const Clock &clock, RequestHandler onRequest, AbandonedHandler onAbandoned);

    /**
     * @brief Starts listening.
     * @param endpoint Local endpoint.
     * @return Nothing, or `unavailable`.
     */
    [[nodiscard]] Result<void> listen(const net::Endpoint &endpoint);

    /**
     * @brief Sets the limits, also of open connections; a request that is being read keeps those of its size.
     * @param limits The limits.
     */
    void setLimits(const ServerLimits &limits);

    /**
     * @brief Sets which requests of a connection may run concurrently; without a rule, none may.
     * @param rule Returns true for a request that may.
     */
    void setOverlapRule(OverlapRule rule)
    {
        m_overlapRule = std::move(rule);
    }

    /**
     * @brief Sets who learns of connections that are closed while their callers are owed bytes.
     * @param handler Receives the reason and the bytes that are lost.
     */
    void setDropHandler(DropHandler handler)
    {
        m_onDropped = std::move(handler);
    }

    /**
     * @brief Sets how many bytes of answers are held for callers that do not take them.
     * @param bytes The limit, over all connections; beyond it, those that have paused longest are closed.
     */
    void setHeldLimit(const qsizetype bytes) noexcept
    {
        m_heldLimit = bytes;
    }

    /**
     * @brief Bounds the memory that requests take together, incomplete ones and those without an answer; see net::ReadBudget.
     * @param limit Maximum bytes of all incomplete requests but one, and of long ones without an answer.
     * @param onPaused Called with the bytes of a connection's request so far, each time that one is paused.
     */
    void limitRequests(qsizetype limit, std::function<void(qsizetype)> onPaused);

    /**
     * @brief Sends an answer; ignored if the caller has disconnected.
     * @param exchange The request.
     * @param response The answer.
     * @throws Any exception of the request handler for a request behind this one; the connection is then closed.
     */
    void answer(ExchangeId exchange, Response response);

    /*! @brief Makes each connection close after its next answer; new connections are still accepted. */
    void retire();

    /*! @brief Closes the idle connections and stops accepting new ones. */
    void closeIdle();

    /*! @brief Enforces timeouts and destroys closed connections; call it a few times per second. */
    void tick();

    /*! @brief Checks whether any caller is owed an answer, or bytes of one that it has not received. */
    [[nodiscard]] bool owesAnswers() const;

    [[nodiscard]] bool isIdle() const noexcept
    {
        return m_unanswered.empty();
    }

private:
    [[nodiscard]] bool mayOverlap(const Request &request) const override;
    [[nodiscard]] ExchangeId begin(ServerConnection &connection) override;
    void onRequest(ExchangeId exchange, Request request, SteadyTime readAt) override;
    void onPartReceived(ServerConnection &connection) override;
    void onAbandoned(ExchangeId exchange) override;
    void onDropped(DropReason reason, qsizetype undelivered) override;
    void onClosed(ServerConnection &connection) override;
    void limitHeldBytes();
    void noteRequestEnded(ExchangeId exchange);
    void accept(int descriptor);

    net::Poller &m_poller;
    const Clock &m_clock;
    RequestHandler m_onRequest;
    AbandonedHandler m_onAbandoned;
    OverlapRule m_overlapRule;
    DropHandler m_onDropped;
    net::TcpAcceptor m_acceptor;
    ServerLimits m_limits;
    std::unordered_map<ServerConnection *, std::unique_ptr<ServerConnection>> m_connections;
    std::unordered_map<ExchangeId, ServerConnection *> m_unanswered;
    net::ReadBudget m_requestBudget;
    /*! @brief Sizes of the long bodies of requests without an answer. */
    std::unordered_map<ExchangeId, qsizetype> m_longRequests;
    /*! @brief Sum of these sizes. */
    qsizetype m_longRequestBytes{};
    /*! @brief Closed connections; destroyed in tick(), since one of their functions may still be on the call stack. */
    std::vector<std::unique_ptr<ServerConnection>> m_closed;
    ExchangeId m_lastExchange;
    /*! @brief Maximum bytes of answers held for callers that do not take them: a part of the memory of a small VM. */
    qsizetype m_heldLimit{qsizetype{64} * 1024 * 1024};
    bool m_isRetiring{};
};

} // namespace egretlatch::http

#endif
