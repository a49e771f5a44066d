#include <egretlatch/daemon/daemon.hpp>

#include <QCoreApplication>

#include <fmt/format.h>

#include <egretlatch/core/new_incarnation.hpp>
#include <egretlatch/daemon/core_options.hpp>

namespace egretlatch::daemon
{

namespace internal
{

// Runs a step on a thread with an event loop and waits for it.
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
    , m_inward{m_decideWaker}
    , m_peer{m_settings.id, m_incarnation, m_settings.peerKeys, m_inward.fromPeer, m_metrics}
    , m_frontWaker{[this] {
        drainFront();
    }}
    , m_backWaker{[this] {
        drainBack();
    }}
    , m_accountWaker{[this] {
        drainAccount();
    }}
    , m_platformWaker{[this] {
        drainPlatform();
    }}
    , m_outward{m_frontWaker, m_peer.waker(), m_backWaker, m_accountWaker, m_platformWaker}
{
    m_frontWaker.moveToThread(&m_frontThread);
    m_backWaker.moveToThread(&m_backThread);
    m_accountWaker.moveToThread(&m_accountThread);
    m_platformWaker.moveToThread(&m_platformThread);
}

Daemon::~Daemon()
{
    m_decide.reset();
    stopThread(m_frontThread, m_frontWaker, [this] {
        m_front.reset();
    });
    stopThread(m_backThread, m_backWaker, [this] {
        m_back.reset();
    });
    stopThread(m_accountThread, m_accountWaker, [this] {
        m_refusals->close();
        m_refusals.reset();
        m_spans.reset();
    });
    stopThread(m_platformThread, m_platformWaker, [this] {
        m_platform.reset();
    });
}

void Daemon::stopThread(QThread &thread, QObject &onThread, const std::function<void()> &destroy)
{
    if (!thread.isRunning()) {
        return;
    }
    // What lives on a thread is destroyed there.
    internal::runOn(onThread, destroy);
    thread.quit();
    thread.wait();
}

Result<void> Daemon::start()
{
    m_decide = std::make_unique<DecideThread>(makeCore(), m_inward, m_outward, m_decideWaker, m_metrics, m_logger, m_droppedRefusals, [] {
        QMetaObject::invokeMethod(QCoreApplication::instance(), &QCoreApplication::quit, Qt::QueuedConnection);
    });
    m_frontThread.start();
    m_backThread.start();
    m_accountThread.start();
    m_platformThread.start();
    internal::runOn(m_platformWaker, [this] {
        m_platform = std::make_unique<PlatformClient>(platformAccess());
    });
    internal::runOn(m_accountWaker, [this] {
        m_refusals = std::make_unique<RefusalRecorder>(platformAccess(), m_settings.id, m_incarnation, m_droppedRefusals, m_metrics);
        m_spans = std::make_unique<SpanExporter>(m_settings.collectorUrl, m_settings.id.value, m_metrics);
    });
    internal::runOn(m_backWaker, [this] {
        m_back = std::make_unique<BackendClient>(m_settings.backendUrl, [this](decision::RunEnded ended) {
            if (!m_inward.fromBack.tryPush(std::move(ended))) {
                m_metrics.count("events_dropped", "ring-full");
            }
        });
    });
    const std::string peerEndpoint = fmt::format("tcp://{}:{}", m_settings.listenAddress, m_settings.peerPort);
    if (Result<void> bound = m_peer.start(peerEndpoint, m_outward.toPeer); !bound.has_value()) {
        return bound;
    }
    if (!m_settings.peerKeys.has_value()) {
        m_logger.warning("peer encryption is off: any process that reaches the peer port is taken for a daemon");
    }
    m_decide->start();
    Result<void> listening;
    internal::runOn(m_frontWaker, [this, &listening] {
        const auto takeEvent = [this](decision::Event event) {
            return m_inward.fromFront.tryPush(std::move(event));
        };
        m_front = std::make_unique<CallerServer>(m_settings.maxBodyBytes, takeEvent, m_metrics);
        if (!m_settings.isOpenToOperators) {
            m_front->requireToken(m_tokens.operators);
        }
        addReports();
        listening = m_front->start(m_settings.listenAddress, m_settings.callerPort);
    });
    if (!listening.has_value()) {
        return listening;
    }
    if (m_manifest != nullptr) {
        // With a platform, the manifest of the settings only bridges the time until an accepted one is found.
        const std::uint64_t version = m_settings.platformUrl.empty() ? 1 : 0;
        // Pushed on the thread that writes this ring: it has room for one writer.
        internal::runOn(m_platformWaker, [this, version] {
            static_cast<void>(m_inward.fromPlatform.tryPush(decision::ManifestChanged{.version = version, .manifest = m_manifest}));
        });
    }
    if (m_settings.isOpenToOperators) {
        m_logger.warning("operators' reads need no token: operatorAccess is open");
    }
    if (m_settings.ownsKeysWithoutOwner) {
        m_logger.warning("keys without an owner are remembered by this entry alone: a resend to another entry, or after a restart, may run twice");
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
        &m_frontWaker,
        [this] {
            m_front->setReady(false);
            static_cast<void>(m_inward.fromFront.tryPush(decision::ServerDraining{.isShutdown = true}));
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

void Daemon::addReports()
{
    m_front->addReport(QStringLiteral("/metrics"), "text/plain; version=0.0.4", [this] {
        return m_metrics.toPrometheus();
    });
    m_front->addReport(QStringLiteral("/status"), "application/json", [this] {
        return m_decide->status();
    });
    m_front->addLookup(QStringLiteral("/refusals/"), [this](const std::string &id) {
        return m_refusals->find(id);
    });
}

void Daemon::drainFront()
{
    while (const std::unique_ptr<FrontOrder> order = m_outward.toFront.tryPop()) {
        if (const auto *const answer = std::get_if<decision::AnswerCaller>(order.get())) {
            m_front->answer(*answer);
        } else {
            m_front->setReady(std::get<ReadyChanged>(*order).isReady);
        }
    }
}

void Daemon::drainBack()
{
    while (const std::unique_ptr<BackOrder> order = m_outward.toBack.tryPop()) {
        if (const auto *const start = std::get_if<decision::StartRun>(order.get())) {
            m_back->start(*start);
        } else {
            m_back->abort(std::get<decision::AbortRun>(*order).execution);
        }
    }
}

void Daemon::drainPlatform()
{
    while (const std::unique_ptr<PlatformOrder> order = m_outward.toPlatform.tryPop()) {
        if (const auto *const size = std::get_if<FleetSizeChanged>(order.get())) {
            m_platform->setFleetSize(size->daemons);
            QMetaObject::invokeMethod(&m_accountWaker, [this, daemons = size->daemons] {
                // The account thread ends before this one; what is still queued for it then finds nothing to tell.
                if (m_refusals != nullptr) {
                    m_refusals->setFleetSize(daemons);
                }
            });
            continue;
        }
        const auto &ask = std::get<decision::AskPlatform>(*order);
        m_platform->ask(ask.request, [this, id = ask.id](store::Outcome outcome) {
            if (!m_inward.fromPlatform.tryPush(decision::PlatformAnswered{.id = id, .outcome = std::move(outcome)})) {
                m_metrics.count("events_dropped", "ring-full");
            }
        });
    }
}

void Daemon::drainAccount()
{
    while (const std::unique_ptr<AccountOrder> order = m_outward.toAccount.tryPop()) {
        if (auto *const span = std::get_if<decision::RecordSpan>(order.get())) {
            m_spans->add(std::move(span->span));
        } else {
            m_refusals->add(std::move(std::get<decision::RecordRefusal>(*order).record));
        }
    }
}

} // namespace egretlatch::daemon
