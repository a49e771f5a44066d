#ifndef EGRETLATCH_DAEMON_BACKEND_CLIENT_HPP
#define EGRETLATCH_DAEMON_BACKEND_CLIENT_HPP

#include <functional>
#include <map>
#include <string>

#include <QObject>

#include <egretlatch/daemon/http_client_pool.hpp>
#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/event.hpp>

namespace egretlatch::daemon
{

/*! @brief Sends runs to the backend server over HTTP. Lives on the backend thread. */
class BackendClient final : public QObject
{
public:
    using EndHandler = std::function<void(decision::RunEnded)>;

    /**
     * @brief Creates a client.
     * @param baseUrl Base URL of the backend server.
     * @param onEnd Called once for each run that was started and not aborted, when it has ended or failed.
     */
    BackendClient(std::string baseUrl, EndHandler onEnd);

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
    void handleFinished(ExecutionId execution, QNetworkReply *reply);

    std::string m_baseUrl;
    EndHandler m_onEnd;
    HttpClientPool m_pool;
    std::map<ExecutionId, QNetworkReply *> m_running;
};

} // namespace egretlatch::daemon

#endif
