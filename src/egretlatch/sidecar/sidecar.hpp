#ifndef EGRETLATCH_SIDECAR_SIDECAR_HPP
#define EGRETLATCH_SIDECAR_SIDECAR_HPP

#include <deque>
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
#include <egretlatch/sidecar/level_log.hpp>
#include <egretlatch/sidecar/report_handler.hpp>
#include <egretlatch/sidecar/request_log.hpp>
#include <egretlatch/sidecar/store_client.hpp>

namespace egretlatch::sidecar
{

/**
 * @brief A daemon on a VM that the platform runs.
 *
 * Callers, the backend server, the store, the other daemons and the decisions share one event loop: on a part of one core
 * each hand-over to another thread is a wake-up and a system call that buys no parallel work.
 */
class Sidecar
{
public:
    /**
     * @brief Builds a daemon that does nothing yet.
     * @param settings Its settings.
     * @param onEnded Called once it has drained, or has had its time for that.
     */
    Sidecar(settings::SidecarSettings settings, std::function<void()> onEnded);
    Sidecar(const Sidecar &) = delete;
    Sidecar &operator=(const Sidecar &) = delete;
    ~Sidecar();

    /**
     * @brief Begins to listen and to look for the fleet.
     * @return Nothing, or why an address cannot be had.
     */
    [[nodiscard]] Result<void> start();

    /*! @brief Takes itself out of the fleet, finishes what is under way, and ends. */
    void drain();

    /**
     * @brief Takes changed settings; addresses stay as they are until the next start.
     * @param settings The settings.
     */
    void reload(const settings::SidecarSettings &settings);

private:
    [[nodiscard]] std::unique_ptr<decision::Core> makeCore();
    [[nodiscard]] Result<void> listen();
    [[nodiscard]] double usedShareOfRetries() const;
    void post(decision::Event event);
    void handle(const decision::Event &event);
    void execute(decision::Action action);
    void rescheduleTick();
    void tick();
    void runMaintenance();
    void logLevelChange();
    [[nodiscard]] std::chrono::milliseconds maxTimeout() const;
    void handleReport(ExchangeId exchange, const http::Request &request);
    void answerProbe(ExchangeId exchange, const http::Request &request);
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] http::Response metricsPage();
    void handleConfiguration(const QByteArray &document);
    void applyConfiguration();
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
    http::Server m_reportServer;
    ReportHandler m_reportHandler;
    std::unique_ptr<decision::Core> m_core;
    std::deque<decision::Event> m_events;
    QTimer m_tickTimer;
    QTimer m_maintenanceTimer;
    SteadyTime m_nextTick;
    SteadyTime m_startedAt;
    std::optional<SteadyTime> m_drainSince;
    bool m_isHandling{};
    /*! @brief Since when the configuration in force is; nothing without one. */
    std::optional<SteadyTime> m_inForceSince;
    bool m_isShuttingDown{};
    bool m_hasEnded{};
};

} // namespace egretlatch::sidecar

#endif
