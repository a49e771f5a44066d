#ifndef EGRETLATCH_DAEMON_PLATFORM_CLIENT_HPP
#define EGRETLATCH_DAEMON_PLATFORM_CLIENT_HPP

#include <functional>
#include <string>

#include <QObject>

#include <egretlatch/core/secret.hpp>
#include <egretlatch/daemon/http_client_pool.hpp>
#include <egretlatch/store/rate_limiter.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::daemon
{

/*! @brief Address of the platform, with the token and timeout of its clients. */
struct PlatformAccess
{
    /*! @brief Base URL; empty for no platform. */
    std::string url;
    /*! @brief Token sent with each request; empty for none. */
    Secret token;
    /*! @brief Time after which a request fails with `timedOut`. */
    std::chrono::milliseconds timeout{2000};
};

/*! @brief Accesses the platform's table and object store over HTTP. Must be used on one thread with an event loop. */
class PlatformClient final : public QObject
{
public:
    using OutcomeHandler = std::function<void(store::Outcome)>;

    /**
     * @brief Creates a client.
     * @param access Address, token and timeout.
     */
    explicit PlatformClient(PlatformAccess access);

    /**
     * @brief Sets the number of daemons that share the platform's request rate.
     * @param daemons Number of daemons.
     */
    void setFleetSize(int daemons);

    /**
     * @brief Sends a request. The handler is called exactly once, possibly before this function returns.
     *
     * A write is sent at most once. `unavailable` and `rateLimited` guarantee that it had no effect; after `timedOut` the
     * effect is unknown.
     * @param request Request to send.
     * @param onOutcome Receives the outcome, on this thread.
     */
    void send(const store::Request &request, OutcomeHandler onOutcome);

private:
    PlatformAccess m_access;
    HttpClientPool m_pool;
    store::RateLimiter m_reads;
    store::RateLimiter m_writes;
};

} // namespace egretlatch::daemon

#endif
