#include <egretlatch/daemon/decide_thread.hpp>

#include <algorithm>

#include <egretlatch/daemon/isolation_log.hpp>
#include <egretlatch/daemon/server_log.hpp>
#include <egretlatch/daemon/status_document.hpp>

namespace egretlatch::daemon
{

namespace internal
{

// Maximum number of events handled from one ring before the other rings and the timers are checked.
constexpr int batchSize = 64;
constexpr std::chrono::milliseconds gaugeInterval{200};
constexpr std::chrono::milliseconds statusTimeout{100};

} // namespace internal

DecideThread::DecideThread(std::unique_ptr<decision::Core> core,
                           EventRings &eventRings,
                           ActionRings &actionRings,
                           ConditionWaker &waker,
                           account::MetricsSink &metrics,
                           const Logger &logger,
                           account::DroppedTally &droppedRefusals,
                           DrainedHandler onDrained)
    : m_core{std::move(core)}
    , m_eventRings{eventRings}
    , m_actionRings{actionRings}
    , m_waker{waker}
    , m_metrics{metrics}
    , m_logger{logger}
    , m_droppedRefusals{droppedRefusals}
    , m_onDrained{std::move(onDrained)}
{
}

DecideThread::~DecideThread()
{
    m_isStopping.store(true);
    m_waker.wake();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void DecideThread::start()
{
    m_thread = std::thread{[this] {
        run();
    }};
}

std::string DecideThread::status()
{
    // With 750 members, writing the document takes milliseconds, so it is written on request only.
    std::unique_lock lock{m_statusMutex};
    m_isStatusRequested.store(true);
    m_waker.wake();
    m_statusWritten.wait_for(lock, internal::statusTimeout, [this] {
        return !m_isStatusRequested.load();
    });
    return m_status;
}

void DecideThread::run()
{
    SteadyTime nextTick = m_core->nextTick();
    while (!m_isStopping.load()) {
        const bool hadEvents = drainRings();
        if (std::chrono::steady_clock::now() >= nextTick) {
            handle(decision::Tick{});
            publishGauges();
            nextTick = m_core->nextTick();
        }
        if (m_isStatusRequested.load()) {
            writeStatus();
        }
        if (hadEvents) {
            // An idle core ticks rarely; these events may have added a deadline that is earlier than the next tick.
            nextTick = std::min(nextTick, m_core->nextTick());
        } else {
            m_waker.waitUntil(nextTick);
        }
    }
}

bool DecideThread::drainRings()
{
    // The ends of runs are handled before new calls, so that slots are released before the next call needs one.
    bool hadEvents = drainRing(m_eventRings.fromBackend);
    hadEvents = drainRing(m_eventRings.fromPeer) || hadEvents;
    hadEvents = drainRing(m_eventRings.fromCallers) || hadEvents;
    return drainRing(m_eventRings.fromPlatform) || hadEvents;
}

bool DecideThread::drainRing(Ring<decision::Event> &ring)
{
    for (int count = 0; count < internal::batchSize; ++count) {
        const std::unique_ptr<decision::Event> event = ring.tryPop();
        if (event == nullptr) {
            return count > 0;
        }
        handle(*event);
    }
    return true;
}

void DecideThread::handle(const decision::Event &event)
{
    for (decision::Action &action : m_core->handle(event)) {
        execute(std::move(action));
    }
}

void DecideThread::execute(decision::Action action)
{
    bool isQueued = true;
    if (auto *const answer = std::get_if<decision::AnswerCaller>(&action)) {
        isQueued = m_actionRings.toCallers.tryPush(std::move(*answer));
    } else if (auto *const send = std::get_if<decision::SendToPeer>(&action)) {
        isQueued = sendToPeer(std::move(*send));
    } else if (auto *const start = std::get_if<decision::StartRun>(&action)) {
        const ExecutionId execution = start->execution;
        isQueued = m_actionRings.toBackend.tryPush(std::move(*start));
        if (!isQueued) {
            handle(decision::RunEnded{.execution = execution, .result = decision::RunFailure::notConnected});
        }
    } else if (const auto *const abort = std::get_if<decision::AbortRun>(&action)) {
        isQueued = m_actionRings.toBackend.tryPush(*abort);
    } else if (auto *const refusal = std::get_if<decision::RecordRefusal>(&action)) {
        const WallTime time = refusal->record.time;
        isQueued = m_actionRings.toAccount.tryPush(std::move(*refusal));
        if (!isQueued) {
            m_droppedRefusals.add(time);
        }
    } else if (auto *const span = std::get_if<decision::RecordSpan>(&action)) {
        isQueued = m_actionRings.toAccount.tryPush(std::move(*span));
    } else if (auto *const toPlatform = std::get_if<decision::SendToPlatform>(&action)) {
        const store::RequestId id = toPlatform->id;
        isQueued = m_actionRings.toPlatform.tryPush(std::move(*toPlatform));
        if (!isQueued) {
            handle(decision::PlatformAnswered{.id = id, .outcome = tl::unexpected{Error{ErrorCode::unavailable, "the ring to the platform thread is full"}}});
        }
    } else if (const auto *const inForce = std::get_if<decision::ManifestInForce>(&action)) {
        m_logger.info("configuration in force", {{"version", inForce->version}, {"hash", inForce->hash}, {"sourceDaemon", inForce->sourceDaemon.value}});
        isQueued = m_actionRings.toCallers.tryPush(ReadyChanged{.isReady = true});
    } else if (const auto *const changed = std::get_if<decision::MemberChanged>(&action)) {
        m_logger.debug("member changed", {{"member", changed->id.value}, {"state", membership::toString(changed->state)}});
    } else if (logServerAction(m_logger, action)) {
        isQueued = true;
    } else if (const auto *const departure = std::get_if<decision::DepartureReported>(&action)) {
        m_logger.info("departure reported", {{"instance", departure->instance}});
    } else if (const auto *const isolation = std::get_if<decision::IsolationChanged>(&action)) {
        logIsolation(m_logger, *isolation);
    } else if (std::holds_alternative<decision::Drained>(action)) {
        m_onDrained();
    }
    if (!isQueued) {
        m_metrics.count("orders_dropped", "ring-full");
    }
}

bool DecideThread::sendToPeer(decision::SendToPeer action)
{
    const auto *const request = std::get_if<protocol::CallRequest>(&action.message);
    const std::optional<CallId> call = request == nullptr ? std::nullopt : std::optional{request->call};
    const DaemonId to = action.to;
    const bool isQueued = m_actionRings.toPeer.tryPush(std::move(action));
    if (!isQueued && call.has_value()) {
        handle(decision::SendFailed{.to = to, .call = *call});
    }
    return isQueued;
}

void DecideThread::forwardFleetSize()
{
    const int daemons = static_cast<int>(m_core->roster().members().size());
    if (daemons != m_fleetSize && m_actionRings.toPlatform.tryPush(FleetSizeChanged{.daemons = daemons})) {
        m_fleetSize = daemons;
    }
}

void DecideThread::publishGauges()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    if (now - m_lastGaugeUpdate < internal::gaugeInterval) {
        return;
    }
    m_lastGaugeUpdate = now;
    forwardFleetSize();
    const admission::LoadReport load = m_core->load();
    m_metrics.set("in_flight", load.inFlight);
    m_metrics.set("concurrency_limit", load.limit);
    m_metrics.set("queued", load.queued);
    m_metrics.set("admission_level", load.level.priority + load.level.fraction);
    const membership::PeerSilence silence = m_core->peerSilence();
    m_metrics.set("isolated", silence.isIsolated ? 1.0 : 0.0);
    m_metrics.set("peer_silence_seconds", std::chrono::duration<double>(silence.duration).count());
}

void DecideThread::writeStatus()
{
    std::string document = statusDocument(m_core->roster(), m_core->configurationReport(), m_core->load(), m_core->peerSilence());
    const std::lock_guard lock{m_statusMutex};
    m_status = std::move(document);
    m_isStatusRequested.store(false);
    m_statusWritten.notify_all();
}

} // namespace egretlatch::daemon
