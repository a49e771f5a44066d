#include <egretlatch/sidecar/sidecar.hpp>

#include <algorithm>
#include <unistd.h>

#include <fmt/format.h>

#include <egretlatch/core/new_incarnation.hpp>
#include <egretlatch/platform/bounds.hpp>
#include <egretlatch/platform/names.hpp>
#include <egretlatch/sidecar/adaptive_options.hpp>
#include <egretlatch/sidecar/gauges.hpp>
#include <egretlatch/sidecar/shutdown_times.hpp>

namespace egretlatch::sidecar
{

namespace internal
{

constexpr std::chrono::milliseconds maintenanceInterval{100};
// Share of the fleet's retry budget that daemons use. The rest absorbs differences between their counts and those of the
// servers, caused by daemons that restart and by calls that never arrive.
constexpr double usedShareOfRetries = 0.8;
// Percentages of the time that the platform allows from a server's report that it leaves to its last request: end of accepting
// requests, and last start of a queued one. Requests that are queued when accepting ends are started by then, or refused and
// sent on to other servers within the rest.
constexpr int hundredPercent = 100;
constexpr int acceptPercent = 40;
constexpr int lastStartPercent = 80;
// Percentages of the time that the platform allows from the withdrawal of an API key to its last request: greatest age of the
// configuration at which keys count, and longest time without contact to the store.
constexpr int keyAgePercent = 90;
constexpr int storeContactPercent = 60;
// Other daemons are discovered within half a second of a start; the platform probes readiness once a second.
constexpr std::chrono::milliseconds maxDiscoveryWait{1500};
constexpr const char *metricsPath = "/metrics";
constexpr int ok = 200;
constexpr int notFound = 404;
constexpr int serviceUnavailable = 503;

} // namespace internal

Sidecar::Sidecar(settings::SidecarSettings settings, std::function<void()> onEnded)
    : m_settings{std::move(settings)}
    , m_bounds{platform::readBounds(m_settings.boundEntries)}
    , m_onEnded{std::move(onEnded)}
    , m_logSink{STDOUT_FILENO, m_clock}
    , m_logger{m_settings.logLevel, m_settings.id.value, m_logSink}
    , m_requestLog{m_logger}
    , m_levelLog{m_logger}
    , m_random{randomSeed()}
    , m_incarnation{newIncarnation(m_clock)}
    , m_peers{m_poller,
              m_clock,
              m_settings.id,
              m_incarnation,
              [this](decision::Event event) {
                  post(std::move(event));
              },
              m_metrics}
    , m_store{m_poller, m_clock, m_settings.store, m_logger, m_metrics}
    , m_feed{m_store,
             m_clock,
             m_random,
             m_logger,
             {.onDocument =
                  [this](const QByteArray &document) {
                      // A document that makes the parser throw must not end one connection to the store after the other.
                      bool isInForce = false;
                      runGuarded("configuration", [this, &document, &isInForce] {
                          isInForce = handleConfiguration(document);
                      });
                      return isInForce;
                  },
              .onClock =
                  [this](const store::ClockReading &reading) {
                      post(decision::StoreClockRead{.reading = reading});
                  },
              .onProof =
                  [this](const store::StoreTime at) {
                      post(decision::ConfigurationProven{.at = at});
                  },
              .onAnswered =
                  [this] {
                      followConfiguration();
                  }}}
    , m_backend{m_poller,
                m_clock,
                m_settings.backend,
                [this](decision::RunEnded ended) {
                    post(std::move(ended));
                },
                [this] {
                    post(decision::ServerUnreachable{});
                }}
    , m_frontend{m_poller,
                 m_clock,
                 m_random,
                 m_settings.service,
                 [this](decision::Event event) {
                     post(std::move(event));
                 }}
    , m_readiness{m_poller,
                  m_clock,
                  [this](const ExchangeId exchange, const http::Request &request, SteadyTime /*readAt*/) {
                      answerProbe(exchange, request);
                  },
                  [](ExchangeId /*exchange*/) {}}
    , m_metricsServer{m_poller,
                      m_clock,
                      [this](const ExchangeId exchange, const http::Request &request, SteadyTime /*readAt*/) {
                          m_metricsServer.answer(exchange, request.target == internal::metricsPath ? metricsPage() : http::bareResponse(internal::notFound));
                      },
                      [](ExchangeId /*exchange*/) {}}
    , m_reports{m_poller,
                m_clock,
                ReportHandler{m_settings.service,
                              m_settings.backend.text(),
                              m_logger,
                              m_metrics,
                              [this](const std::string &incarnation) {
                                  return m_core->hasLeft(incarnation);
                              }},
                *this,
                m_logger}
    , m_core{makeCore()}
    , m_pump{{.onEvent =
                  [this](const decision::Event &event) {
                      handle(event);
                  },
              .onSettled =
                  [this] {
                      rescheduleTick();
                  },
              .onFailed =
                  [this](const std::string_view reason) {
                      handleCoreFailure(reason);
                  }}}
{
    m_poller.setExceptionReporter([this](const int descriptor, const std::string_view reason) {
        reportException(fmt::format("descriptor {}", descriptor), reason);
    });
    m_backend.limitAnswers(
        static_cast<qsizetype>(m_settings.answerMemoryBytes),
        [this] {
            return m_peers.unsentReplyBytes();
        },
        [this](const qsizetype received) {
            m_metrics.count("answers_held_up", "memory");
            m_logger.warning("answer held up", {{"received", received}, {"answerMemoryBytes", m_settings.answerMemoryBytes}});
        });
    m_frontend.server().limitRequests(static_cast<qsizetype>(m_settings.requestMemoryBytes), [this](const qsizetype received) {
        m_metrics.count("requests_held_up", "memory");
        m_logger.warning("request held up", {{"received", received}, {"requestMemoryBytes", m_settings.requestMemoryBytes}});
    });
    m_frontend.server().setDropHandler([this](const http::DropReason reason, const qsizetype undelivered) {
        m_metrics.count("answers_undelivered", http::toString(reason));
        m_logger.warning("answer not delivered", {{"reason", http::toString(reason)}, {"bytes", undelivered}});
    });
    m_logSink.setOmissionLine([this](const std::string &event, const std::uint64_t count) {
        return m_logger.line(LogLevel::warning, "lines left out", {{"of", event}, {"count", count}});
    });
    m_tickTimer.setSingleShot(true);
    m_tickTimer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&m_tickTimer, &QTimer::timeout, &m_tickTimer, [this] {
        tick();
    });
    m_maintenanceTimer.setInterval(internal::maintenanceInterval);
    QObject::connect(&m_maintenanceTimer, &QTimer::timeout, &m_maintenanceTimer, [this] {
        runMaintenance();
    });
}

Sidecar::~Sidecar() = default;

std::unique_ptr<decision::Core> Sidecar::makeCore()
{
    membership::Member self;
    self.id = m_settings.id;
    self.incarnation = m_incarnation;
    self.endpoint = m_settings.announcedPeer.has_value() ? fmt::format("tcp://{}", m_settings.announcedPeer->text())
                                                         : fmt::format("tcp://{}:{}", m_settings.address, m_settings.peerPort);
    self.region = m_settings.region;
    self.dataCentre = m_settings.dataCentre;
    decision::CoreBuilder builder{m_clock, m_random, m_metrics};
    builder.setSelf(self);
    builder.followPlatform();
    builder.setConfigurationFeed();
    builder.keepDepartures(m_settings.isFirstStart);
    builder.keepSuspects(m_settings.isFirstStart);
    builder.setUnownedKeys(retry::UnownedKeys::notNeeded);
    builder.setDelivery(decision::Delivery::oneIncarnation);
    builder.allowIncarnationRaise();
    builder.setEntryRules({.countsOnlyArrivals = true, .retrySlack = m_bounds.retrySlack * usedShareOfRetries(), .traces = false});
    builder.setAccountRules(accountRules());
    builder.setDrainTimes({
        .afterReport = internal::acceptPercent * m_bounds.drain / internal::hundredPercent,
        // The local backend server keeps running, so requests of daemons that know no other server are still accepted.
        .afterSignal = shutdownTimes(m_bounds.grace, {}).notice,
        .lastStart = internal::lastStartPercent * m_bounds.drain / internal::hundredPercent,
    });
    daemon::applyPolicy(m_settings.policy, m_random, builder, adaptiveOptions(m_settings.disabledMechanisms));
    return builder.build();
}

double Sidecar::usedShareOfRetries() const
{
    return m_settings.disabledMechanisms.contains(settings::Mechanism::retries) ? 0.0 : internal::usedShareOfRetries;
}

decision::AccountRules Sidecar::accountRules() const
{
    decision::AccountRules rules;
    if (m_bounds.isWithdrawalStrict) {
        rules.maxAgeForKeys = m_bounds.withdrawal * internal::keyAgePercent / internal::hundredPercent;
        rules.maxTimeWithoutStore = m_bounds.withdrawal * internal::storeContactPercent / internal::hundredPercent;
    }
    rules.maxAgeForUnknownKeys = m_bounds.configurationApply;
    rules.quota = {.window = m_bounds.quotaWindow, .overage = m_bounds.quotaOverage, .slack = m_bounds.quotaSlack};
    return rules;
}

Result<void> Sidecar::start()
{
    if (Result<void> listening = listen(); !listening.has_value()) {
        return listening;
    }
    m_frontend.setOverlap(!m_settings.disabledMechanisms.contains(settings::Mechanism::overlap));
    m_startedAt = m_clock.steadyNow();
    m_maintenanceTimer.start();
    m_logger.info("started",
                  {{"callers", m_settings.callers.text()},
                   {"backend", m_settings.backend.text()},
                   {"service", m_settings.service},
                   {"firstStart", m_settings.isFirstStart}});
    post(decision::Tick{});
    return {};
}

Result<void> Sidecar::listen()
{
    if (Result<void> listening = m_peers.start({.address = m_settings.address, .port = m_settings.peerPort}); !listening.has_value()) {
        return listening;
    }
    if (Result<void> listening = m_frontend.listen(m_settings.callers); !listening.has_value()) {
        return listening;
    }
    if (Result<void> listening = m_reports.listen(m_settings.serverReports); !listening.has_value()) {
        return listening;
    }
    if (m_settings.metrics.has_value()) {
        // The daemon can serve without metrics, so failure to bind this address is not fatal.
        if (const Result<void> listening = m_metricsServer.listen(*m_settings.metrics); !listening.has_value()) {
            m_logger.warning("metrics endpoint not available", {{"reason", listening.error().message}});
        }
    }
    return m_readiness.listen(m_settings.readiness);
}

void Sidecar::reload(const settings::SidecarSettings &settings)
{
    m_settings.boundEntries = settings.boundEntries;
    m_bounds = platform::readBounds(m_settings.boundEntries);
    m_logger.info("settings reloaded");
}

void Sidecar::post(decision::Event event)
{
    m_pump.post(std::move(event));
}

void Sidecar::handle(const decision::Event &event)
{
    for (decision::Action &action : m_core->handle(event)) {
        execute(std::move(action));
    }
}

void Sidecar::rescheduleTick()
{
    const SteadyTime next = m_core->nextTick();
    if (m_tickTimer.isActive() && next >= m_nextTick) {
        return;
    }
    m_nextTick = next;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(next - m_clock.steadyNow());
    m_tickTimer.start(std::max(wait, std::chrono::milliseconds{0}));
}

void Sidecar::tick()
{
    post(decision::Tick{});
}

void Sidecar::runMaintenance()
{
    m_logSink.flush();
    runGuarded("links to daemons", [this] {
        m_peers.tick();
    });
    runGuarded("connections of callers", [this] {
        m_frontend.server().tick();
    });
    runGuarded("connections of the platform", [this] {
        m_readiness.tick();
        m_metricsServer.tick();
        m_reports.tick();
    });
    runGuarded("connections to the backend server", [this] {
        m_backend.tick();
    });
    runGuarded("store client", [this] {
        m_store.tick();
        followConfiguration();
    });
    runGuarded("level log", [this] {
        logLevelChange();
    });
    if (m_drainSince.has_value()) {
        tickShutdown();
    }
}

void Sidecar::logLevelChange()
{
    const SteadyTime now = m_clock.steadyNow();
    const admission::LoadReport load = m_core->load();
    if (m_levelLog.isDue(load.level, now)) {
        m_levelLog.write(load, m_core->levelFigures(), now);
    }
}

void Sidecar::onServerEvent(decision::Event event)
{
    post(std::move(event));
}

void Sidecar::onNewServer()
{
    m_backend.closeIdleConnections();
}

bool Sidecar::isDepartureSaved(const std::string &incarnation) const
{
    return m_core->isDepartureSaved(incarnation);
}

void Sidecar::answerProbe(const ExchangeId exchange, const http::Request &request)
{
    if (request.target == internal::metricsPath) {
        m_readiness.answer(exchange, metricsPage());
        return;
    }
    m_readiness.answer(exchange, http::bareResponse(isReady() ? internal::ok : internal::serviceUnavailable));
}

bool Sidecar::isReady() const
{
    // A daemon that has not discovered others yet would refuse requests for every service but its own. If it finds none in time,
    // it becomes ready and serves what it can.
    const bool isDiscoveryDone = !m_core->roster().participants().empty() || m_clock.steadyNow() - m_startedAt >= internal::maxDiscoveryWait;
    return m_inForceSince.has_value() && isDiscoveryDone && !m_drainSince.has_value();
}

http::Response Sidecar::metricsPage()
{
    const SteadyTime now = m_clock.steadyNow();
    setGauges(*m_core, {.slots = m_reports.backend().slots(), .inForceSince = m_inForceSince, .logLinesOmitted = m_logSink.omitted()}, now, m_metrics);
    http::Response response = http::bareResponse(internal::ok);
    response.headers.push_back({.name = "Content-Type", .value = "text/plain; version=0.0.4"});
    response.body = QByteArray::fromStdString(m_metrics.toPrometheus());
    return response;
}

} // namespace egretlatch::sidecar
