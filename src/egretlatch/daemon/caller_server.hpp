#ifndef EGRETLATCH_DAEMON_CALLER_SERVER_HPP
#define EGRETLATCH_DAEMON_CALLER_SERVER_HPP

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpSocket>

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/core/error.hpp>
#include <egretlatch/core/secret.hpp>
#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/event.hpp>

namespace egretlatch::daemon
{

/*! @brief Takes HTTP from callers, the backend server and operators. Lives on the thread for that duty. */
class CallerServer final : public QAbstractHttpServer
{
public:
    /*! @brief Hands an event to the deciding thread; false if its ring is full. */
    using EventHandler = std::function<bool(decision::Event)>;
    /*! @brief Gives the text of a page that only reports. */
    using PageHandler = std::function<std::string()>;
    /*! @brief Gives the text of a page by its name. */
    using PageLookup = std::function<std::optional<std::string>(const std::string &)>;

    /**
     * @brief Builds a server that does not listen yet.
     * @param maxBodyBytes Larger bodies are refused.
     * @param onEvent Takes what came in.
     * @param metrics Takes counts of what was no request; must outlive the server.
     */
    CallerServer(std::int64_t maxBodyBytes, EventHandler onEvent, account::MetricsSink &metrics);

    /**
     * @brief Adds a page.
     * @param path Path of the page.
     * @param contentType Its media type.
     * @param report Called for each read, on this server's thread.
     */
    void addPage(const QString &path, const QByteArray &contentType, PageHandler handler);

    /**
     * @brief Adds pages below a path, such as one for each refusal; they are JSON.
     * @param prefix Path up to the name of a page.
     * @param lookup Called for each read with the rest of the path, on this server's thread; nothing for no such page.
     */
    void addPageLookup(const QString &prefix, PageLookup lookup);

    /**
     * @brief Lets the pages added by addPage() and addPageLookup() be read only with a token; until then they are open.
     * @param token The token; empty closes the pages to everyone.
     */
    void requireToken(Secret token);

    /**
     * @brief Starts to listen.
     * @param address IP number.
     * @param port Port.
     * @return Nothing, or `unavailable` if the address cannot be had.
     */
    [[nodiscard]] Result<void> start(const std::string &address, std::uint16_t port);

    /**
     * @brief Answers an exchange; does nothing if its caller has gone.
     * @param answer The answer.
     */
    void answer(const decision::AnswerCaller &answer);

    /**
     * @brief Sets whether the daemon takes calls, for `/readyz`.
     * @param isReady True once a configuration is in force and until it drains.
     */
    void setReady(bool isReady);

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    struct Page
    {
        QByteArray contentType;
        PageHandler handler;
    };

    struct Exchange
    {
        QHttpServerResponder responder;
        QPointer<QTcpSocket> socket;
    };

    void handleCall(const QHttpServerRequest &request, QTcpSocket *socket);
    [[nodiscard]] bool isAuthorized(const QHttpServerRequest &request) const;
    [[nodiscard]] bool handlePage(const QHttpServerRequest &request, QTcpSocket *socket);
    void handleKeys(const QHttpServerRequest &request, QTcpSocket *socket);
    void handleBackend(const QHttpServerRequest &request, QTcpSocket *socket);
    void trackExchange(QTcpSocket *socket, ExchangeId exchange);
    void handleDisconnected(QTcpSocket *socket);

    std::int64_t m_maxBodyBytes;
    EventHandler m_onEvent;
    account::MetricsSink &m_metrics;
    std::unordered_map<std::string, Page> m_pages;
    QString m_lookupPrefix;
    PageLookup m_lookup;
    std::optional<Secret> m_token;
    std::unordered_map<ExchangeId, Exchange> m_exchanges;
    std::unordered_map<QTcpSocket *, ExchangeId> m_exchangeBySocket;
    std::uint64_t m_lastExchange{};
    bool m_isReady{};
};

} // namespace egretlatch::daemon

#endif
