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

/*! @brief Where the platform is and what a client of it may spend. */
struct PlatformAccess
{
    /*! @brief Base URL; empty for no platform. */
    std::string url;
    /*! @brief Sent with each request; empty for none. */
    Secret token;
    /*! @brief Time after which a request has no answer. */
    std::chrono::milliseconds timeout{2000};
};

/*! @brief Asks the table and the object store over HTTP. Lives on one thread with an event loop. */
class PlatformClient final : public QObject
{
public:
    using OutcomeHandler = std::function<void(store::Outcome)>;

    /**
     * @brief Builds a client.
     * @param access Where the platform is.
     */
    explicit PlatformClient(PlatformAccess access);

    /**
     * @brief Sets how many daemons share the platform's rate.
     * @param daemons Their number.
     */
    void setFleetSize(int daemons);

    /**
     * @brief Asks; the answer comes through the handler exactly once, perhaps before this returns.
     *
     * A write is sent at most once. `unavailable` and `rateLimited` prove that nothing was done; `timedOut` proves nothing.
     * @param request What is asked.
     * @param onOutcome Takes the outcome, on this thread.
     */
    void ask(const store::Request &request, OutcomeHandler onOutcome);

private:
    PlatformAccess m_access;
    HttpClientPool m_pool;
    store::RateLimiter m_reads;
    store::RateLimiter m_writes;
};

} // namespace egretlatch::daemon

#endif
