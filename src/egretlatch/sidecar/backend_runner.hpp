#ifndef EGRETLATCH_SIDECAR_BACKEND_RUNNER_HPP
#define EGRETLATCH_SIDECAR_BACKEND_RUNNER_HPP

#include <functional>
#include <string>
#include <unordered_map>

#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/http/client_pool.hpp>
#include <egretlatch/platform/server_wire.hpp>

namespace egretlatch::sidecar
{

/*! @brief Sends requests to the backend server on this VM and reads its answers. */
class BackendRunner
{
public:
    using EndedHandler = std::function<void(decision::RunEnded ended)>;
    using UnreachableHandler = std::function<void()>;

    /**
     * @brief Builds a runner.
     * @param poller Watches its sockets; must outlive it.
     * @param clock Source of time; must outlive it.
     * @param endpoint The backend server.
     * @param onEnded Called at the end of each run that is not aborted.
     * @param onUnreachable Called if the server accepts no connection right after a run was lost.
     */
    BackendRunner(net::Poller &poller, const Clock &clock, const net::Endpoint &endpoint, EndedHandler onEnded, UnreachableHandler onUnreachable);

    /**
     * @brief Starts a run.
     * @param start The run.
     * @param instance Incarnation of the backend server that is to execute it; empty if unknown.
     */
    void start(const decision::StartRun &start, const std::string &instance);

    /**
     * @brief Closes the connection of a run whose answer is no longer needed.
     * @param execution The run; ignored if it has ended.
     */
    void abort(ExecutionId execution);

    /*! @brief Closes connections without a request in flight, as they lead to an ended incarnation of the server. */
    void closeIdleConnections()
    {
        m_pool.closeIdle();
    }

    /**
     * @brief Bounds the memory that incomplete answers of the server take together; see http::ClientPool::limitAnswers().
     * @param limit Maximum bytes of all incomplete answers but one.
     * @param onPaused Called with the bytes of an answer so far, each time that one is held up.
     */
    void limitAnswers(const qsizetype limit, std::function<qsizetype()> waitingBytes, std::function<void(qsizetype)> onPaused)
    {
        m_pool.limitAnswers(limit, std::move(waitingBytes), std::move(onPaused));
    }

    void tick()
    {
        m_pool.tick();
    }

private:
    void probe();

    const Clock &m_clock;
    std::string m_host;
    EndedHandler m_onEnded;
    UnreachableHandler m_onUnreachable;
    http::ClientPool m_pool;
    std::unordered_map<std::uint64_t, http::ClientRequestId> m_requestIds;
};

} // namespace egretlatch::sidecar

#endif
