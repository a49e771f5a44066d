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

/*! @brief Tokens that a daemon asks for and offers, read from the files that its settings name. */
struct Tokens
{
    /*! @brief Operators' reads need it; empty refuses them all, unless the settings open them. */
    Secret operators;
    /*! @brief The platform needs it; empty for none. */
    Secret platform;
};

/*! @brief The threads of one daemon, joined by rings. */
class Daemon
{
public:
    /**
     * @brief Builds a daemon that has not started.
     * @param settings Checked settings.
     * @param tokens Tokens that it asks for and offers.
     * @param manifest Configuration to start with; null to start without.
     */
    Daemon(settings::DaemonSettings settings, Tokens tokens, std::shared_ptr<const manifest::Manifest> manifest);
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /*! @brief Stops all threads; what is in flight then is cut off, so drain first. */
    ~Daemon();

    /**
     * @brief Takes the ports and starts all threads.
     * @return Nothing, or `unavailable` if a port cannot be had.
     */
    [[nodiscard]] Result<void> start();

    /**
     * @brief Refuses new work; once nothing is in flight, ends the application's event loop.
     *
     * Called on the application's thread, more than once if need be.
     */
    void drain();

private:
    [[nodiscard]] std::unique_ptr<decision::Core> makeCore();
    [[nodiscard]] PlatformAccess platformAccess() const;
    void addPages();
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
