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

/*! @brief Listens for requests and carries their answers back. Lives on one thread with an event loop. */
class Server final : public ServerConnectionListener
{
public:
    using RequestHandler = std::function<void(ExchangeId exchange, Request request, SteadyTime readAt)>;
    using AbandonedHandler = std::function<void(ExchangeId exchange)>;
    using OverlapRule = std::function<bool(const Request &request)>;

    /**
     * @brief Builds a server that does not listen yet.
     * @param poller Watches its sockets; must outlive it.
     * @param clock Source of time; must outlive it.
     * @param onRequest Takes each request; one answer() is to follow, perhaps before it returns.
     * @param onAbandoned Told when a caller has gone without its answer.
     */
    Server(net::Poller &poller, const Clock &clock, RequestHandler onRequest, AbandonedHandler onAbandoned);

    /**
     * @brief Begins to listen.
     * @param endpoint Where.
     * @return Nothing, or `unavailable`.
     */
    [[nodiscard]] Result<void> listen(const net::Endpoint &endpoint);

    /**
     * @brief Sets what callers may send; connections that are open keep the limits that they had.
     * @param limits The limits.
     */
    void setLimits(const ServerLimits &limits);

    /**
     * @brief Sets which requests of a connection may run beside one another; without a rule, none.
     * @param rule Tells it of one request.
     */
    void setOverlapRule(OverlapRule rule)
    {
        m_overlapRule = std::move(rule);
    }

    /**
     * @brief Answers; a caller that has gone is passed over.
     * @param exchange The request.
     * @param response The answer.
     */
    void answer(ExchangeId exchange, Response response);

    /*! @brief From now on each connection ends with its next answer; new ones are still taken. */
    void retire();

    /*! @brief Closes the connections on which nothing is under way and takes no new ones. */
    void closeIdle();

    /*! @brief Ends what takes too long, and forgets what is over; to be called a few times a second. */
    void tick();

    [[nodiscard]] bool isIdle() const noexcept
    {
        return m_unanswered.empty();
    }

private:
    [[nodiscard]] bool mayOverlap(const Request &request) const override;
    [[nodiscard]] ExchangeId begin(ServerConnection &connection) override;
    void onRequest(ExchangeId exchange, Request request, SteadyTime readAt) override;
    void onAbandoned(ExchangeId exchange) override;
    void onClosed(ServerConnection &connection) override;
    void accept(int descriptor);

    net::Poller &m_poller;
    const Clock &m_clock;
    RequestHandler m_onRequest;
    AbandonedHandler m_onAbandoned;
    OverlapRule m_overlapRule;
    net::TcpAcceptor m_acceptor;
    ServerLimits m_limits;
    std::unordered_map<ServerConnection *, std::unique_ptr<ServerConnection>> m_connections;
    std::unordered_map<ExchangeId, ServerConnection *> m_unanswered;
    /*! @brief Closed while one of their functions may be on the call stack. */
    std::vector<std::unique_ptr<ServerConnection>> m_closed;
    ExchangeId m_lastExchange;
    bool m_isRetiring{};
};

} // namespace egretlatch::http

#endif
