#include <egretlatch/daemon/daemon.hpp>

#include <QCoreApplication>

#include <fmt/format.h>

#include <egretlatch/core/new_incarnation.hpp>
#include <egretlatch/daemon/core_options.hpp>

namespace egretlatch::daemon
{

namespace internal
{

// Runs a step on the thread of an object, which needs an event loop, and waits for its end.
template<typename Step>
static void runOn(QObject &object, Step step)
{
    QMetaObject::invokeMethod(&object, std::move(step), Qt::BlockingQueuedConnection);
}

} // namespace internal

Daemon::Daemon(settings::DaemonSettings settings, Tokens tokens, std::shared_ptr<const manifest::Manifest> manifest)
    : m_settings{std::move(settings)}
    , m_tokens{std::move(tokens)}
    , m_manifest{std::move(manifest)}
    , m_logger{m_settings.logLevel, m_settings.id.value}
    , m_random{m_settings.seed.value_or(randomSeed())}
    , m_incarnation{newIncarnation(m_clock)}
    , m_eventRings{m_decideWaker}
    , m_peerThread{m_settings.id, m_incarnation, m_settings.peerKeys, m_eventRings.fromPeer, m_metrics}
    , m_callerWaker{[this] {
        drainCallerRing();
    }}
    , m_backendWaker{[this] {
        drainBackendRing();
    }}
    , m_accountWaker{[this] {
        drainAccountRing();
    }}
    , m_platformWaker{[this] {
        drainPlatformRing();
    }}
    , m_actionRings{m_callerWaker, m_peerThread.waker(), m_backendWaker, m_accountWaker, m_platformWaker}
{
    m_callerWaker.moveToThread(&m_callerThread);
    m_backendWaker.moveToThread(&m_backendThread);
    m_accountWaker.moveToThread(&m_accountThread);
    m_platformWaker.moveToThread(&m_platformThread);
}

Daemon::~Daemon()
{
    m_decideThread.reset();
    // Its ring of messages to send is destroyed before it.
    m_peerThread.stop();
    stopThread(m_callerThread, m_callerWaker, [this] {
        m_callerServer.reset();
    });
    stopThread(m_backendThread, m_backendWaker, [this] {
        m_backendClient.reset();
    });
    stopThread(m_accountThread, m_accountWaker, [this] {
        m_refusalRecorder->close();
        m_refusalRecorder.reset();
        m_spanExporter.reset();
    });
    stopThread(m_platformThread, m_platformWaker, [this] {
        m_platformClient.reset();
    });
}

void Daemon::stopThread(QThread &thread, QObject &contextObject, const std::function<void()> &destroy)
{
    if (!thread.isRunning()) {
        return;
    }
    // QObjects must be destroyed on the thread they live on.
    internal::runOn(contextObject, destroy);
    thread.quit();
    thread.wait();
}

Result<void> Daemon::start()
{
    m_decideThread = std::make_unique<DecideThread>(makeCore(), m_eventRings, m_actionRings, m_decideWaker, m_metrics, m_logger, m_droppedRefusals, [this] {
        finishCallers();
    });
    m_callerThread.start();
    m_backendThread.start();
    m_accountThread.start();
    m_platformThread.start();
    internal::runOn(m_platformWaker, [this] {
        m_platformClient = std::make_unique<PlatformClient>(platformAccess());
    });
    internal::runOn(m_accountWaker, [this] {
        m_refusalRecorder = std::make_unique<RefusalRecorder>(platformAccess(), m_settings.id, m_incarnation, m_droppedRefusals, m_metrics);
        m_spanExporter = std::make_unique<SpanExporter>(m_settings.collectorUrl, m_settings.id.value, m_metrics);
    });
    internal::runOn(m_backendWaker, [this] {
        m_backendClient = std::make_unique<BackendClient>(m_settings.backendUrl, m_clock, [this](decision::RunEnded ended) {
            if (!m_eventRings.fromBackend.tryPush(std::move(ended))) {
                m_metrics.count("events_dropped", "ring-full");
            }
        });
    });
    const std::string peerEndpoint = fmt::format("tcp://{}:{}", m_settings.listenAddress, m_settings.peerPort);
    if (Result<void> bound = m_peerThread.start(peerEndpoint, m_actionRings.toPeer); !bound.has_value()) {
        return bound;
    }
    if (!m_settings.peerKeys.has_value()) {
        m_logger.warning("peer encryption is off: any process that reaches the peer port is taken for a daemon");
    }
    m_decideThread->start();
    Result<void> listening;
    internal::runOn(m_callerWaker, [this, &listening] {
        const auto pushEvent = [this](decision::Event event) {
            return m_eventRings.fromCallers.tryPush(std::move(event));
        };
        m_callerServer = std::make_unique<CallerServer>(m_settings.maxBodyBytes, pushEvent, m_metrics);
        if (!m_settings.isOpenToOperators) {
            m_callerServer->requireToken(m_tokens.operators);
        }
        addPages();
        listening = m_callerServer->start(m_settings.listenAddress, m_settings.callerPort);
    });
    if (!listening.has_value()) {
        return listening;
    }
    if (m_manifest != nullptr) {
        // With a platform, the manifest of the settings is used only until an accepted one is fetched, so it gets version 0.
        const std::uint64_t version = m_settings.platformUrl.empty() ? 1 : 0;
        // A ring has a single producer, so the push must happen on the platform thread.
        internal::runOn(m_platformWaker, [this, version] {
            static_cast<void>(m_eventRings.fromPlatform.tryPush(decision::ManifestChanged{.version = version, .manifest = m_manifest}));
        });
    }
    if (m_settings.isOpenToOperators) {
        m_logger.warning("operator pages need no token: operatorAccess is open");
    }
    if (m_settings.ownsKeysWithoutOwner) {
        m_logger.warning("request keys without an owner are tracked by this daemon only: a resend to another daemon, or after a restart, may run twice");
    }
    m_logger.info("started", {{"callers", m_settings.callerPort}, {"peers", m_settings.peerPort}, {"backend", m_settings.backendUrl}});
    return {};
}

PlatformAccess Daemon::platformAccess() const
{
    return {.url = m_settings.platformUrl, .token = m_tokens.platform};
}

void Daemon::drain()
{
    m_logger.info("draining");
    QMetaObject::invokeMethod(
        &m_callerWaker,
        [this] {
            m_callerServer->setReady(false);
            m_callerServer->retire();
            static_cast<void>(m_eventRings.fromCallers.tryPush(decision::ServerDraining{.isShutdown = true}));
        },
        Qt::QueuedConnection);
}

void Daemon::finishCallers()
{
    // The decide thread runs until all callers have their answers; requests arrive until their connections are closed.
    QMetaObject::invokeMethod(
        &m_callerWaker,
        [this] {
            m_callerServer->finish([] {
                QMetaObject::invokeMethod(QCoreApplication::instance(), &QCoreApplication::quit, Qt::QueuedConnection);
            });
        },
        Qt::QueuedConnection);
}

std::unique_ptr<decision::Core> Daemon::makeCore()
{
    membership::Member self;
    self.id = m_settings.id;
    self.incarnation = m_incarnation;
    self.endpoint = fmt::format("tcp://{}:{}", m_settings.listenAddress, m_settings.peerPort);
    self.region = m_settings.region;
    self.dataCentre = m_settings.dataCentre;
    decision::CoreBuilder builder{m_clock, m_random, m_metrics};
    builder.setSelf(self);
    for (const settings::PeerSettings &peer : m_settings.peers) {
        builder.addContact({.id = peer.id, .endpoint = peer.endpoint});
    }
    if (!m_settings.platformUrl.empty()) {
        builder.setKeyGrants({});
        builder.followPlatform();
    }
    builder.setUnownedKeys(m_settings.ownsKeysWithoutOwner ? retry::UnownedKeys::entryMemory : retry::UnownedKeys::refuse);
    applyPolicy(m_settings.policy, m_random, builder);
    return builder.build();
}

void Daemon::addPages()
{
    m_callerServer->addPage(QStringLiteral("/metrics"), "text/plain; version=0.0.4", [this] {
        return m_metrics.toPrometheus();
    });
    m_callerServer->addPage(QStringLiteral("/status"), "application/json", [this] {
        return m_decideThread->status();
    });
    m_callerServer->addPageLookup(QStringLiteral("/refusals/"), [this](const std::string &id) {
        return m_refusalRecorder->find(id);
    });
}

void Daemon::drainCallerRing()
{
    while (const std::unique_ptr<CallerAction> action = m_actionRings.toCallers.tryPop()) {
        if (const auto *const answer = std::get_if<decision::AnswerCaller>(action.get())) {
            m_callerServer->answer(*answer);
        } else {
            m_callerServer->setReady(std::get<ReadyChanged>(*action).isReady);
        }
    }
}

void Daemon::drainBackendRing()
{
    while (const std::unique_ptr<BackendAction> action = m_actionRings.toBackend.tryPop()) {
        if (const auto *const start = std::get_if<decision::StartRun>(action.get())) {
            m_backendClient->start(*start);
        } else {
            m_backendClient->abort(std::get<decision::AbortRun>(*action).execution);
        }
    }
}

void Daemon::drainPlatformRing()
{
    while (const std::unique_ptr<PlatformAction> action = m_actionRings.toPlatform.tryPop()) {
        if (const auto *const size = std::get_if<FleetSizeChanged>(action.get())) {
            m_platformClient->setFleetSize(size->daemons);
            QMetaObject::invokeMethod(&m_accountWaker, [this, daemons = size->daemons] {
                // The account thread stops before the platform thread, so the recorder may already be destroyed.
                if (m_refusalRecorder != nullptr) {
                    m_refusalRecorder->setFleetSize(daemons);
                }
            });
            continue;
        }
        const auto &toPlatform = std::get<decision::SendToPlatform>(*action);
        m_platformClient->send(toPlatform.request, [this, id = toPlatform.id](store::Outcome outcome) {
            if (!m_eventRings.fromPlatform.tryPush(decision::PlatformAnswered{.id = id, .outcome = std::move(outcome)})) {
                m_metrics.count("events_dropped", "ring-full");
            }
        });
    }
}

void Daemon::drainAccountRing()
{
    while (const std::unique_ptr<AccountAction> action = m_actionRings.toAccount.tryPop()) {
        if (auto *const span = std::get_if<decision::RecordSpan>(action.get())) {
            m_spanExporter->add(std::move(span->span));
        } else {
            m_refusalRecorder->add(std::move(std::get<decision::RecordRefusal>(*action).record));
        }
    }
}

} // namespace egretlatch::daemon
