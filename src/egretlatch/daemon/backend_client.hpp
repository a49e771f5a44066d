#ifndef EGRETLATCH_DAEMON_BACKEND_CLIENT_HPP
#define EGRETLATCH_DAEMON_BACKEND_CLIENT_HPP

#include <functional>
#include <map>
#include <string>

#include <QTimer>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/http/client_pool.hpp>
#include <egretlatch/net/poller.hpp>

namespace egretlatch::daemon
{

/**
 * @brief Sends runs to the backend server over HTTP. Lives on the backend thread.
 *
 * Used instead of Qt's network access, which reports a reset as an orderly close: part of an answer that ends with its connection
 * would pass for the whole one. A run is sent at most once.
 */
class BackendClient final
{
public:
    using EndHandler = std::function<void(decision::RunEnded)>;

    /**
     * @brief Creates a client.
     * @param baseUrl Base URL of the backend server, with scheme http; a host name is resolved once.
     * @param clock Source of time; must outlive the client.
     * @param onEnd Called once for each run that was started and not aborted, when it has ended or failed.
     */
    BackendClient(const std::string &baseUrl, const Clock &clock, EndHandler onEnd);

    /**
     * @brief Starts a run.
     * @param run Request to send, and the id of its execution.
     */
    void start(const decision::StartRun &run);

    /**
     * @brief Closes the connection of a run. The end handler is not called for it.
     * @param execution Id of the run; ignored if no such run is in flight.
     */
    void abort(ExecutionId execution);

private:
    void handleOutcome(ExecutionId execution, const http::Outcome &outcome);

    const Clock &m_clock;
    EndHandler m_onEnd;
    std::string m_host;
    std::string m_pathPrefix;
    net::Poller m_poller;
    http::ClientPool m_pool;
    std::map<ExecutionId, http::ClientRequestId> m_running;
    QTimer m_tickTimer;
};

} // namespace egretlatch::daemon

#endif
