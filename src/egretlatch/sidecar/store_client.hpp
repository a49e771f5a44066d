#ifndef EGRETLATCH_SIDECAR_STORE_CLIENT_HPP
#define EGRETLATCH_SIDECAR_STORE_CLIENT_HPP

#include <chrono>
#include <functional>

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/core/logger.hpp>
#include <egretlatch/http/client_pool.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::sidecar
{

/*! @brief Client of the platform's store. Sends a write at most once. Must be used on one thread, with an event loop. */
class StoreClient
{
public:
    using AnswerHandler = std::function<void(http::Outcome)>;

    /**
     * @brief Builds a client.
     * @param poller Watches its sockets; must outlive it.
     * @param clock Source of time; must outlive it.
     * @param endpoint The store.
     * @param logger Receives a line when the store becomes unreachable and when it is reachable again; must outlive it.
     * @param metrics Counts the calls by their outcome; must outlive it.
     */
    StoreClient(net::Poller &poller, const Clock &clock, const net::Endpoint &endpoint, const Logger &logger, account::MetricsSink &metrics);

    /**
     * @brief Reads or writes rows.
     * @param request The request; requests for objects fail with `unavailable`.
     * @param onOutcome Receives the outcome; called exactly once, possibly before this returns.
     */
    void execute(const store::Request &request, std::function<void(store::Outcome)> onOutcome);

    /**
     * @brief Sends an HTTP request with its own timeout, such as a long poll.
     * @param request The HTTP request.
     * @param timeout Time after which it fails as unanswered.
     * @param onAnswer Receives the outcome; called exactly once, possibly before this returns, unless the call is cancelled.
     * @return Identifier for cancel().
     */
    http::ClientRequestId call(const http::Request &request, std::chrono::milliseconds timeout, AnswerHandler onAnswer);

    /**
     * @brief Closes the connection of a call; no outcome follows.
     * @param id The call; ignored if it has ended.
     */
    void cancel(http::ClientRequestId id)
    {
        m_pool.cancel(id);
    }

    void tick()
    {
        m_pool.tick();
    }

private:
    void recordOutcome(const http::Outcome &result);

    const Clock &m_clock;
    const Logger &m_logger;
    account::MetricsSink &m_metrics;
    std::string m_host;
    http::ClientPool m_pool;
    bool m_isLost{};
};

} // namespace egretlatch::sidecar

#endif
