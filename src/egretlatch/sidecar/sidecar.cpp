#include <egretlatch/sidecar/sidecar.hpp>

#include <algorithm>
#include <unistd.h>

#include <fmt/format.h>

#include <egretlatch/core/new_incarnation.hpp>
#include <egretlatch/platform/bounds.hpp>
#include <egretlatch/platform/configuration_document.hpp>
#include <egretlatch/platform/names.hpp>
#include <egretlatch/sidecar/adaptive_options.hpp>
#include <egretlatch/sidecar/gauges.hpp>
#include <egretlatch/sidecar/leaving_times.hpp>

namespace egretlatch::sidecar
{

namespace internal
{

constexpr std::chrono::milliseconds houseInterval{100};
// Part of what the fleet may repeat that daemons use; the rest is for what they count differently than its servers: daemons
// that start anew, and calls that never arrive.
constexpr double usedShareOfRetries = 0.8;
// Part of the time, in hundredths, that the platform gives from a server's word that it leaves to its last request. What
// waits at the door when it closes is sent on within the rest.
constexpr int hundredths = 100;
constexpr int doorShare = 40;
constexpr int lastStartShare = 80;
// Others are known half a second after a start; the platform asks for readiness once a second.
constexpr std::chrono::milliseconds longestLookAround{1500};
constexpr const char *metricsPath = "/metrics";
constexpr int ok = 200;
constexpr int notFound = 404;
constexpr int serviceUnavailable = 503;

} // namespace internal

Sidecar::Sidecar(settings::SidecarSettings settings, std::function<void()> onEnded)
    : m_settings{std::move(settings)}
    , m_bounds{platform::readBounds(m_settings.boundTexts)}
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
             [this](const QByteArray &document) {
                 takeConfiguration(document);
             }}
    , m_backend{m_poller,
                m_clock,
                m_settings.backend,
                [this](decision::RunEnded ended) {
                    post(std::move(ended));
                }}
    , m_front{m_poller,
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
                [this](const ExchangeId exchange, const http::Request &request, SteadyTime /*readAt*/) {
                    takeReport(exchange, request);
                },
                [](ExchangeId /*exchange*/) {}}
    , m_intake{m_settings.service,
               m_settings.backend.text(),
               m_logger,
               m_metrics,
               [this](const std::string &life) {
                   return m_core->hasLeft(life);
               }}
    , m_core{makeCore()}
{
    m_logSink.setOmissionLine([this](const std::string &event, const std::uint64_t count) {
        return m_logger.line(LogLevel::warning, "lines left out", {{"of", event}, {"count", count}});
    });
    m_tickTimer.setSingleShot(true);
    m_tickTimer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&m_tickTimer, &QTimer::timeout, &m_tickTimer, [this] {
        tick();
    });
    m_houseTimer.setInterval(internal::houseInterval);
    QObject::connect(&m_houseTimer, &QTimer::timeout, &m_houseTimer, [this] {
        keepHouse();
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
    builder.setUnownedKeys(retry::UnownedKeys::notNeeded);
    builder.setDelivery(decision::Delivery::oneIncarnation);
    builder.allowIncarnationRaise();
    builder.setEntryRules({.countsOnlyArrivals = true, .retrySlack = m_bounds.retrySlack * usedShareOfRetries(), .traces = false});
    builder.setDrainTimes({
        .afterReport = internal::doorShare * m_bounds.drain / internal::hundredths,
        // The server beside this daemon goes on, so the door stays open for daemons that know of no other.
        .afterSignal = leavingTimesOf(m_bounds.grace, {}).notice,
        .lastStart = internal::lastStartShare * m_bounds.drain / internal::hundredths,
    });
    daemon::applyPolicy(m_settings.policy, m_random, builder, adaptiveOptions(m_settings.disabledMechanisms));
    return builder.build();
}

double Sidecar::usedShareOfRetries() const
{
    return m_settings.disabledMechanisms.contains(settings::Mechanism::retries) ? 0.0 : internal::usedShareOfRetries;
}

Result<void> Sidecar::start()
{
    if (Result<void> listening = listen(); !listening.has_value()) {
        return listening;
    }
    m_front.setOverlap(!m_settings.disabledMechanisms.contains(settings::Mechanism::overlap));
    m_startedAt = m_clock.steadyNow();
    m_houseTimer.start();
    m_feed.tick();
    m_logger.info("started", {{"callers", m_settings.callers.text()}, {"backend", m_settings.backend.text()}, {"service", m_settings.service}});
    post(decision::Tick{});
    return {};
}

Result<void> Sidecar::listen()
{
    if (Result<void> listening = m_peers.start({.address = m_settings.address, .port = m_settings.peerPort}); !listening.has_value()) {
        return listening;
    }
    if (Result<void> listening = m_front.listen(m_settings.callers); !listening.has_value()) {
        return listening;
    }
    if (Result<void> listening = m_reports.listen(m_settings.serverReports); !listening.has_value()) {
        return listening;
    }
    if (m_settings.metrics.has_value()) {
        // Without the metrics the daemon still serves, so an address that cannot be had does not end it.
        if (const Result<void> listening = m_metricsServer.listen(*m_settings.metrics); !listening.has_value()) {
            m_logger.warning("no metrics", {{"reason", listening.error().message}});
        }
    }
    return m_readiness.listen(m_settings.readiness);
}

void Sidecar::drain()
{
    if (m_drainSince.has_value()) {
        return;
    }
    m_logger.info("draining");
    m_drainSince = m_clock.steadyNow();
    m_front.server().retire();
    post(decision::ServerDraining{.isShutdown = false, .isSignal = true});
}

void Sidecar::reload(const settings::SidecarSettings &settings)
{
    m_settings.boundTexts = settings.boundTexts;
    m_bounds = platform::readBounds(m_settings.boundTexts);
    m_logger.info("settings reloaded");
}

void Sidecar::post(decision::Event event)
{
    m_events.push_back(std::move(event));
    if (m_isHandling) {
        return;
    }
    m_isHandling = true;
    while (!m_events.empty()) {
        const decision::Event next = std::move(m_events.front());
        m_events.pop_front();
        handle(next);
    }
    m_isHandling = false;
    rearm();
}

void Sidecar::handle(const decision::Event &event)
{
    for (decision::Action &action : m_core->handle(event)) {
        carryOut(std::move(action));
    }
}

void Sidecar::carryOut(decision::Action action)
{
    if (const auto *const answer = std::get_if<decision::AnswerCaller>(&action)) {
        m_front.answer(*answer);
    } else if (auto *const send = std::get_if<decision::SendToPeer>(&action)) {
        m_peers.send(*send);
    } else if (const auto *const start = std::get_if<decision::StartRun>(&action)) {
        m_backend.start(*start, m_intake.server().instance());
    } else if (const auto *const abort = std::get_if<decision::AbortRun>(&action)) {
        m_backend.abort(abort->execution);
    } else if (const auto *const ask = std::get_if<decision::AskPlatform>(&action)) {
        m_store.ask(ask->request, [this, id = ask->id](store::Outcome outcome) {
            post(decision::PlatformAnswered{.id = id, .outcome = std::move(outcome)});
        });
    } else if (const auto *const refusal = std::get_if<decision::RecordRefusal>(&action)) {
        m_requestLog.write(*refusal);
    } else if (const auto *const note = std::get_if<decision::LogRequest>(&action)) {
        m_requestLog.write(*note);
    } else if (const auto *const inForce = std::get_if<decision::ManifestInForce>(&action)) {
        m_logger.info("configuration in force", {{"version", inForce->version}, {"hash", inForce->hash}, {"bringer", inForce->sourceDaemon.value}});
        putInForce();
    } else if (const auto *const changed = std::get_if<decision::MemberChanged>(&action)) {
        m_logger.info("member changed", {{"member", changed->id.value}, {"state", membership::toString(changed->state)}});
    } else if (const auto *const heard = std::get_if<decision::DepartureReported>(&action)) {
        m_logger.info("departure heard", {{"instance", heard->instance}});
    } else if (const auto *const raised = std::get_if<decision::IncarnationRaised>(&action)) {
        m_logger.warning("life raised", {{"from", raised->from.value}, {"to", raised->to.value}});
        m_peers.beginIncarnation(raised->to);
    } else if (std::holds_alternative<decision::Drained>(action)) {
        endNow("nothing is under way");
    }
}

void Sidecar::rearm()
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

void Sidecar::keepHouse()
{
    m_logSink.flush();
    m_peers.tick();
    m_front.server().tick();
    m_readiness.tick();
    m_metricsServer.tick();
    m_reports.tick();
    m_backend.tick();
    m_store.tick();
    m_feed.tick();
    noteLevel();
    if (!m_drainSince.has_value()) {
        return;
    }
    const Duration drained = m_clock.steadyNow() - *m_drainSince;
    const LeavingTimes times = leavingTimesOf(m_bounds.grace, longestTimeout());
    if (!m_isShuttingDown && drained >= times.notice) {
        m_isShuttingDown = true;
        post(decision::ServerDraining{.isShutdown = true, .isSignal = true});
    }
    if (drained >= times.end) {
        endNow("the time to drain is over");
    }
}

void Sidecar::noteLevel()
{
    const SteadyTime now = m_clock.steadyNow();
    const admission::LoadReport load = m_core->load();
    if (m_levelLog.isDue(load.level, now)) {
        m_levelLog.write(load, m_core->levelFigures(), now);
    }
}

std::chrono::milliseconds Sidecar::longestTimeout() const
{
    std::chrono::milliseconds longest{};
    if (m_core->manifest() == nullptr) {
        return longest;
    }
    for (const manifest::ServiceSpec &service : m_core->manifest()->services()) {
        for (const manifest::KindSpec &kind : service.kinds) {
            longest = std::max(longest, kind.deadline);
        }
    }
    return longest;
}

void Sidecar::takeReport(const ExchangeId exchange, const http::Request &request)
{
    TakenReport taken = m_intake.take(request);
    if (taken.hasNewLife) {
        m_backend.forgetConnections();
    }
    // Before the acknowledgement: from then on no new request may reach a server that leaves.
    if (taken.event.has_value()) {
        post(std::move(*taken.event));
    }
    m_reports.answer(exchange, taken.answer);
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
    // One that knows no other daemon yet would turn away what is for any service but its own. Where it finds nobody it serves
    // what it can.
    const bool hasLookedAround = !m_core->roster().participants().empty() || m_clock.steadyNow() - m_startedAt >= internal::longestLookAround;
    return m_inForceSince.has_value() && hasLookedAround && !m_drainSince.has_value();
}

http::Response Sidecar::metricsPage()
{
    const SteadyTime now = m_clock.steadyNow();
    setGauges(*m_core, {.slots = m_intake.server().slots(), .inForceSince = m_inForceSince, .logLinesLeftOut = m_logSink.omitted()}, now, m_metrics);
    http::Response response = http::bareResponse(internal::ok);
    response.headers.push_back({.name = "Content-Type", .value = "text/plain; version=0.0.4"});
    response.body = QByteArray::fromStdString(m_metrics.toPrometheus());
    return response;
}

void Sidecar::takeConfiguration(const QByteArray &document)
{
    Result<platform::AcceptedConfiguration> accepted = platform::readConfiguration(document, m_bounds.retryRatio * usedShareOfRetries());
    if (!accepted.has_value()) {
        m_logger.warning("configuration not taken", {{"reason", accepted.error().message}});
        return;
    }
    post(decision::ManifestAccepted{.version = accepted->version, .document = std::move(accepted->manifest)});
}

void Sidecar::putInForce()
{
    m_inForceSince = m_clock.steadyNow();
    m_front.setManifest(m_core->manifest());
}

void Sidecar::endNow(const std::string_view reason)
{
    if (m_hasEnded) {
        return;
    }
    m_hasEnded = true;
    m_logger.info("stopped", {{"reason", reason}});
    m_front.server().closeIdle();
    m_onEnded();
}

} // namespace egretlatch::sidecar
