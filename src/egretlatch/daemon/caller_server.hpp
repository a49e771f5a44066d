#ifndef EGRETLATCH_DAEMON_CALLER_SERVER_HPP
#define EGRETLATCH_DAEMON_CALLER_SERVER_HPP

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/error.hpp>
#include <egretlatch/core/secret.hpp>
#include <egretlatch/daemon/fwd.hpp>
#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/event.hpp>

namespace egretlatch::daemon
{

/*! @brief Serves HTTP requests of callers, the backend server and operators. Lives on the caller thread. */
class CallerServer final : public QAbstractHttpServer
{
public:
    /*! @brief Passes an event to the decide thread; returns false if the ring is full. */
    using EventHandler = std::function<bool(decision::Event)>;
    /*! @brief Returns the content of a read-only page. */
    using PageHandler = std::function<std::string()>;
    /*! @brief Returns the content of a page by its name, or nothing if there is no such page. */
    using PageLookup = std::function<std::optional<std::string>(const std::string &)>;

    /**
     * @brief Creates a server that does not listen yet.
     * @param maxBodyBytes Size limit of a request body; calls with a larger one are answered with 413.
     * @param onEvent Receives the events that requests cause.
     * @param metrics Receives the counts of connections that ended without a complete request; must outlive the server.
     */
    CallerServer(std::int64_t maxBodyBytes, EventHandler onEvent, account::MetricsSink &metrics);

    /**
     * @brief Adds a read-only page.
     * @param path Path of the page.
     * @param contentType Media type of its content.
     * @param handler Called for each read, on this server's thread.
     */
    void addPage(const QString &path, const QByteArray &contentType, PageHandler handler);

    /**
     * @brief Adds JSON pages below a path, such as one for each refusal. A later call replaces the lookup.
     * @param prefix Path up to the name of the page.
     * @param lookup Called for each read with the rest of the path, on this server's thread.
     */
    void addPageLookup(const QString &prefix, PageLookup lookup);

    /**
     * @brief Requires a token to read the pages added by addPage() and addPageLookup(). Without this call they are open.
     * @param token Bearer token; if empty, all reads are rejected.
     */
    void requireToken(Secret token);

    /**
     * @brief Starts listening.
     * @param address IP address.
     * @param port TCP port.
     * @return Nothing, or `unavailable` if the address cannot be bound.
     */
    [[nodiscard]] Result<void> start(const std::string &address, std::uint16_t port);

    /**
     * @brief Answers an exchange. Does nothing if the caller has closed its connection.
     * @param answer Answer and the exchange it belongs to.
     */
    void answer(const decision::AnswerCaller &answer);

    /**
     * @brief Sets whether `/readyz` reports that the daemon accepts calls.
     * @param isReady True from the first configuration in force until the daemon drains.
     */
    void setReady(bool isReady);

    /*! @brief Makes each answer the last one of its connection unless a further request on it has already been received. */
    void retire();

    /**
     * @brief Ends all connections after their answers have been delivered, and accepts no new ones.
     *
     * Requests that were received are still answered. Callers that do not read their answers, or do not complete their
     * requests, are cut off after a time limit.
     * @param onFinished Called once, on this server's thread, when no connection is left or the time limit has passed.
     */
    void finish(std::function<void()> onFinished);

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    struct Page
    {
        QByteArray contentType;
        PageHandler handler;
    };

    struct Answer
    {
        int status{};
        Headers headers;
        QByteArray body;
    };

    struct Exchange
    {
        QHttpServerResponder responder;
        QPointer<QTcpSocket> socket;
        // Set while requests before this one on the connection are unanswered.
        std::optional<Answer> answer;
    };

    void handleCall(const QHttpServerRequest &request, ExchangeId exchange);
    [[nodiscard]] bool isAuthorized(const QHttpServerRequest &request) const;
    void handlePage(const QHttpServerRequest &request, ExchangeId exchange);
    void handleKeys(const QHttpServerRequest &request, ExchangeId exchange);
    void handleBackend(const QHttpServerRequest &request, ExchangeId exchange);
    [[nodiscard]] static Answer
    page(const QByteArray &contentType, const QByteArray &body, QHttpServerResponder::StatusCode status = QHttpServerResponder::StatusCode::Ok);
    [[nodiscard]] ExchangeId begin(const QHttpServerRequest &request, QTcpSocket *socket);
    void refuse(ExchangeId exchange, QHttpServerResponder::StatusCode status, const std::string &requestError, Verdict verdict = Verdict::notRun);
    void send(ExchangeId exchange, Answer answer);
    void sendInOrder(QTcpSocket *socket);
    void sendNext(QTcpSocket *socket);
    void handleDisconnected(QTcpSocket *socket);
    void checkFinished();

    std::int64_t m_maxBodyBytes;
    EventHandler m_onEvent;
    account::MetricsSink &m_metrics;
    std::unordered_map<std::string, Page> m_pages;
    QString m_lookupPrefix;
    PageLookup m_lookup;
    std::optional<Secret> m_token;
    std::unordered_map<ExchangeId, Exchange> m_exchanges;
    // The exchanges of each connection, in the order of their requests.
    std::unordered_map<QTcpSocket *, std::deque<ExchangeId>> m_exchangesBySocket;
    std::uint64_t m_lastExchange{};
    bool m_isReady{};
    bool m_isRetiring{};
    // Owned by the base class.
    GuardedTcpServer *m_tcpServer{};
    QTimer m_finishTimer;
    SteadyTime m_finishLimit;
    std::function<void()> m_onFinished;
};

} // namespace egretlatch::daemon

#endif
