#ifndef EGRETLATCH_SIDECAR_SIDECAR_HPP
#define EGRETLATCH_SIDECAR_SIDECAR_HPP

#include <functional>
#include <memory>
#include <optional>

#include <QTimer>

#include <egretlatch/account/metrics_registry.hpp>
#include <egretlatch/core/bounded_log_sink.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/logger.hpp>
#include <egretlatch/decision/core.hpp>
#include <egretlatch/peer/stream_exchange.hpp>
#include <egretlatch/settings/fleet_bounds.hpp>
#include <egretlatch/settings/sidecar_settings.hpp>
#include <egretlatch/sidecar/backend_runner.hpp>
#include <egretlatch/sidecar/caller_frontend.hpp>
#include <egretlatch/sidecar/configuration_feed.hpp>
#include <egretlatch/sidecar/event_pump.hpp>
#include <egretlatch/sidecar/level_log.hpp>
#include <egretlatch/sidecar/report_server.hpp>
#include <egretlatch/sidecar/request_log.hpp>
#include <egretlatch/sidecar/store_client.hpp>

namespace egretlatch::sidecar
{

/**
 * @brief Daemon on a VM of the platform.
 *
 * Connections to callers, the backend server, the store and other daemons share one event loop with the decision core. With
 * only part of a processor core available, handing work to another thread costs a wake-up and a system call and gains no
 * parallelism.
 */
class Sidecar final : private ReportListener
{
public:
    /**
     * @brief Builds a daemon that is not started yet.
     * @param settings Settings of the daemon.
     * @param onEnded Called once it has drained, or when the time limit for that has passed.
     */
    Sidecar(settings::SidecarSettings settings, std::function<void()> onEnded);
    Sidecar(const Sidecar &) = delete;
    Sidecar &operator=(const Sidecar &) = delete;
    ~Sidecar() override;

    /**
     * @brief Starts listening and discovering the fleet.
     * @return Nothing, or the error if an address cannot be bound.
     */
    [[nodiscard]] Result<void> start();

    /*! @brief Leaves the fleet, completes requests in flight, and ends. */
    void drain();

    /**
     * @brief Applies the changed bounds; all other settings take effect at the next start.
     * @param settings The new settings.
     */
    void reload(const settings::SidecarSettings &settings);

private:
    [[nodiscard]] std::unique_ptr<decision::Core> makeCore();
    [[nodiscard]] Result<void> listen();
    [[nodiscard]] double usedShareOfRetries() const;
    [[nodiscard]] decision::AccountRules accountRules() const;
    void executeAtStore(const decision::SendToPlatform &action);
    void post(decision::Event event);
    void handle(const decision::Event &event);
    void handleCoreFailure(std::string_view reason);
    void reportException(std::string_view owner, std::string_view reason);
    void runGuarded(std::string_view owner, const std::function<void()> &step);
    void execute(decision::Action action);
    void rescheduleTick();
    void tick();
    void runMaintenance();
    void followConfiguration();
    void logLevelChange();
    void onServerEvent(decision::Event event) override;
    void onNewServer() override;
    [[nodiscard]] bool isDepartureSaved(const std::string &incarnation) const override;
    void logDeparturesKnown(const decision::DeparturesKnown &known);
    void answerProbe(ExchangeId exchange, const http::Request &request);
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] http::Response metricsPage();
    [[nodiscard]] bool handleConfiguration(const QByteArray &document);
    void reportUnusable(std::uint64_t version, const QByteArray &manifest);
    void applyConfiguration();
    [[nodiscard]] std::optional<std::chrono::milliseconds> pollLimit() const;
    void beginStop(std::string_view reason);
    void tickShutdown();
    void stop(std::string_view reason);

    settings::SidecarSettings m_settings;
    settings::FleetBounds m_bounds;
    std::function<void()> m_onEnded;
    SystemClock m_clock;
    BoundedLogSink m_logSink;
    Logger m_logger;
    RequestLog m_requestLog;
    LevelLog m_levelLog;
    account::MetricsRegistry m_metrics;
    SeededRandom m_random;
    Incarnation m_incarnation;
    net::Poller m_poller;
    peer::StreamExchange m_peers;
    StoreClient m_store;
    ConfigurationFeed m_feed;
    BackendRunner m_backend;
    CallerFrontend m_frontend;
    http::Server m_readiness;
    http::Server m_metricsServer;
    ReportServer m_reports;
    std::unique_ptr<decision::Core> m_core;
    EventPump m_pump;
    /*! @brief Exceptions that left handlers since the start of the current interval, and that start. */
    int m_exceptions{};
    SteadyTime m_exceptionsSince;
    QTimer m_tickTimer;
    QTimer m_maintenanceTimer;
    SteadyTime m_nextTick;
    SteadyTime m_startedAt;
    std::optional<SteadyTime> m_drainSince;
    /*! @brief Time at which the current configuration came into force; empty without one. */
    std::optional<SteadyTime> m_inForceSince;
    bool m_isShuttingDown{};
    /*! @brief Set once no request is in flight, or they have been given up; the exit waits for callers that still read. */
    bool m_isStopping{};
    bool m_hasEnded{};
};

} // namespace egretlatch::sidecar

#endif
