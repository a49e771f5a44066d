#ifndef EGRETLATCH_DAEMON_HTTP_CLIENT_POOL_HPP
#define EGRETLATCH_DAEMON_HTTP_CLIENT_POOL_HPP

#include <memory>
#include <vector>

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>

namespace egretlatch::daemon
{

/*! @brief Selects if Qt may resend a request on its own when the connection is lost. */
enum class Resend {
    allowed,
    /*! @brief The reply ends with an error instead, and the request is sent at most once. */
    never,
};

/**
 * @brief Sends HTTP requests to one host over as many connections as needed.
 *
 * A QNetworkAccessManager opens at most six connections to a host and queues further requests internally. The pool
 * therefore creates several managers and gives each at most six requests at a time. Must be used on one thread with an
 * event loop.
 */
class HttpClientPool
{
public:
    /**
     * @brief Sends a request.
     * @param method HTTP method.
     * @param request URL and headers.
     * @param body Body; may be empty.
     * @param resend Policy for a lost connection; must be `never` for requests that are not idempotent.
     * @return The reply; the caller deletes it with deleteLater() once it has finished.
     */
    [[nodiscard]] QNetworkReply *send(const QByteArray &method, const QNetworkRequest &request, const QByteArray &body, Resend resend = Resend::allowed);

private:
    struct Client
    {
        QNetworkAccessManager manager;
        int inFlight{};
    };

    [[nodiscard]] Client &availableClient();

    std::vector<std::unique_ptr<Client>> m_clients;
};

} // namespace egretlatch::daemon

#endif
