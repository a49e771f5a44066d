#ifndef EGRETLATCH_DAEMON_DAEMON_HPP
#define EGRETLATCH_DAEMON_DAEMON_HPP

#include <memory>

#include <QThread>

#include <egretlatch/account/metrics_registry.hpp>
#include <egretlatch/core/error.hpp>
#include <egretlatch/core/logger.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/daemon/backend_client.hpp>
#include <egretlatch/daemon/caller_server.hpp>
#include <egretlatch/daemon/condition_waker.hpp>
#include <egretlatch/daemon/decide_thread.hpp>
#include <egretlatch/daemon/event_loop_waker.hpp>
#include <egretlatch/daemon/peer_thread.hpp>
#include <egretlatch/daemon/platform_client.hpp>
#include <egretlatch/daemon/refusal_recorder.hpp>
#include <egretlatch/daemon/rings.hpp>
#include <egretlatch/daemon/span_exporter.hpp>
#include <egretlatch/settings/daemon_settings.hpp>

namespace egretlatch::daemon
{

/*! @brief Access tokens of a daemon, read from the files that its settings name. */
struct Tokens
{
    /*! @brief Token required from operators; if empty, their reads are rejected unless the settings allow open access. */
    Secret operators;
    /*! @brief Token sent to the platform; empty for none. */
    Secret platform;
};

/*! @brief Owns the threads of one daemon and the rings between them. */
class Daemon
{
public:
    /**
     * @brief Creates a daemon without starting it.
     * @param settings Validated settings.
     * @param tokens Access tokens.
     * @param manifest Initial configuration; null to start without one.
     */
    Daemon(settings::DaemonSettings settings, Tokens tokens, std::shared_ptr<const manifest::Manifest> manifest);
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /*! @brief Stops all threads and aborts requests in flight; call drain() first to let them complete. */
    ~Daemon();

    /**
     * @brief Binds the ports and starts all threads.
     * @return Nothing, or `unavailable` if a port cannot be bound.
     */
    [[nodiscard]] Result<void> start();

    /**
     * @brief Refuses new requests and quits the application's event loop once nothing is in flight and all answers are delivered.
     *
     * Must be called on the application's thread; may be called more than once.
     */
    void drain();

private:
    [[nodiscard]] std::unique_ptr<decision::Core> makeCore();
    [[nodiscard]] PlatformAccess platformAccess() const;
    void addPages();
    void finishCallers();
    void drainCallerRing();
    void drainBackendRing();
    void drainAccountRing();
    void drainPlatformRing();
    void stopThread(QThread &thread, QObject &contextObject, const std::function<void()> &destroy);

    settings::DaemonSettings m_settings;
    Tokens m_tokens;
    std::shared_ptr<const manifest::Manifest> m_manifest;
    Logger m_logger;
    account::MetricsRegistry m_metrics;
    account::DroppedTally m_droppedRefusals;
    SystemClock m_clock;
    SeededRandom m_random;
    Incarnation m_incarnation;
    ConditionWaker m_decideWaker;
    EventRings m_eventRings;
    PeerThread m_peerThread;
    EventLoopWaker m_callerWaker;
    EventLoopWaker m_backendWaker;
    EventLoopWaker m_accountWaker;
    EventLoopWaker m_platformWaker;
    ActionRings m_actionRings;
    QThread m_callerThread;
    QThread m_backendThread;
    QThread m_accountThread;
    QThread m_platformThread;
    std::unique_ptr<CallerServer> m_callerServer;
    std::unique_ptr<BackendClient> m_backendClient;
    std::unique_ptr<SpanExporter> m_spanExporter;
    std::unique_ptr<RefusalRecorder> m_refusalRecorder;
    std::unique_ptr<PlatformClient> m_platformClient;
    std::unique_ptr<DecideThread> m_decideThread;
};

} // namespace egretlatch::daemon

#endif
