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

/*! @brief Whether Qt may send a request again by itself when a connection breaks under it. */
enum class Resend {
    allowed,
    /*! @brief The reply then ends with an error, and the request has been sent once at most. */
    never,
};

/**
 * @brief Sends HTTP requests to one host over as many connections as are needed.
 *
 * One QNetworkAccessManager opens at most six connections to a host and queues the rest out of sight, so the pool holds
 * several and gives none of them a seventh request. Lives on one thread with an event loop.
 */
class HttpClientPool
{
public:
    /**
     * @brief Sends a request.
     * @param method HTTP method.
     * @param request URL and headers.
     * @param body Body; may be empty.
     * @param resend Whether it may reach the host twice; `never` is required for what is not idempotent.
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
