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

/*! @brief Asks the platform's store. A write is sent at most once. Lives on one thread with an event loop. */
class StoreClient
{
public:
    using AnswerHandler = std::function<void(http::Outcome)>;

    /**
     * @brief Builds a client.
     * @param poller Watches its sockets; must outlive it.
     * @param clock Source of time; must outlive it.
     * @param endpoint The store.
     * @param logger Takes a line when the store is lost and when it is back; must outlive it.
     * @param metrics Counts the calls by their outcome; must outlive it.
     */
    StoreClient(net::Poller &poller, const Clock &clock, const net::Endpoint &endpoint, const Logger &logger, account::MetricsSink &metrics);

    /**
     * @brief Asks for rows, or writes some; the outcome comes exactly once, perhaps before this returns.
     * @param request What is asked; requests about objects are `unavailable` here.
     * @param onOutcome Takes the outcome.
     */
    void execute(const store::Request &request, std::function<void(store::Outcome)> onOutcome);

    /**
     * @brief Sends a call that waits for its answer on purpose.
     * @param request The call.
     * @param timeout Time after which it counts as unanswered.
     * @param onAnswer Takes the answer; called exactly once.
     */
    void call(const http::Request &request, std::chrono::milliseconds timeout, AnswerHandler onAnswer);

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
