#include <egretlatch/daemon/decide_thread.hpp>

#include <algorithm>

#include <egretlatch/daemon/status_document.hpp>

namespace egretlatch::daemon
{

namespace internal
{

// Events taken from one ring before the others and the clock get their turn.
constexpr int batchSize = 64;
constexpr std::chrono::milliseconds figuresInterval{200};
constexpr std::chrono::milliseconds statusTimeout{100};

} // namespace internal

DecideThread::DecideThread(std::unique_ptr<decision::Core> core,
                           InwardRings &inward,
                           OutwardRings &outward,
                           ConditionWaker &waker,
                           account::MetricsSink &metrics,
                           const Logger &logger,
                           account::DroppedTally &droppedRefusals,
                           DrainedHandler onDrained)
    : m_core{std::move(core)}
    , m_inward{inward}
    , m_outward{outward}
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
    // At 750 members the document takes milliseconds to write, so it is written when someone asks and not ahead.
    std::unique_lock lock{m_statusMutex};
    m_isStatusWanted.store(true);
    m_waker.wake();
    m_statusWritten.wait_for(lock, internal::statusTimeout, [this] {
        return !m_isStatusWanted.load();
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
            publishFigures();
            nextTick = m_core->nextTick();
        }
        if (m_isStatusWanted.load()) {
            writeStatus();
        }
        if (hadEvents) {
            // An idle core ticks seldom; the events may have brought a deadline that is nearer than its next tick.
            nextTick = std::min(nextTick, m_core->nextTick());
        } else {
            m_waker.waitUntil(nextTick);
        }
    }
}

bool DecideThread::drainRings()
{
    // Ends before beginnings: a freed slot is known before the next call asks for one.
    bool hadEvents = drainRing(m_inward.fromBack);
    hadEvents = drainRing(m_inward.fromPeer) || hadEvents;
    hadEvents = drainRing(m_inward.fromFront) || hadEvents;
    return drainRing(m_inward.fromPlatform) || hadEvents;
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
        carryOut(std::move(action));
    }
}

void DecideThread::carryOut(decision::Action action)
{
    bool isTaken = true;
    if (auto *const answer = std::get_if<decision::AnswerCaller>(&action)) {
        isTaken = m_outward.toFront.tryPush(std::move(*answer));
    } else if (auto *const send = std::get_if<decision::SendToPeer>(&action)) {
        isTaken = sendToPeer(std::move(*send));
    } else if (auto *const start = std::get_if<decision::StartRun>(&action)) {
        const ExecutionId execution = start->execution;
        isTaken = m_outward.toBack.tryPush(std::move(*start));
        if (!isTaken) {
            handle(decision::RunEnded{.execution = execution, .result = decision::RunFailure::neverConnected});
        }
    } else if (const auto *const abort = std::get_if<decision::AbortRun>(&action)) {
        isTaken = m_outward.toBack.tryPush(*abort);
    } else if (auto *const refusal = std::get_if<decision::RecordRefusal>(&action)) {
        const WallTime time = refusal->record.time;
        isTaken = m_outward.toAccount.tryPush(std::move(*refusal));
        if (!isTaken) {
            m_droppedRefusals.add(time);
        }
    } else if (auto *const span = std::get_if<decision::RecordSpan>(&action)) {
        isTaken = m_outward.toAccount.tryPush(std::move(*span));
    } else if (auto *const ask = std::get_if<decision::AskPlatform>(&action)) {
        const store::RequestId id = ask->id;
        isTaken = m_outward.toPlatform.tryPush(std::move(*ask));
        if (!isTaken) {
            handle(decision::PlatformAnswered{.id = id, .outcome = tl::unexpected{Error{ErrorCode::unavailable, "the ring to the platform is full"}}});
        }
    } else if (const auto *const inForce = std::get_if<decision::ManifestInForce>(&action)) {
        m_logger.info("configuration in force", {{"version", inForce->version}, {"hash", inForce->hash}, {"bringer", inForce->sourceDaemon.value}});
        isTaken = m_outward.toFront.tryPush(ReadyChanged{.isReady = true});
    } else if (const auto *const changed = std::get_if<decision::MemberChanged>(&action)) {
        m_logger.debug("member changed", {{"member", changed->id.value}, {"state", membership::toString(changed->state)}});
    } else if (const auto *const heard = std::get_if<decision::DepartureReported>(&action)) {
        m_logger.info("departure heard", {{"instance", heard->instance}});
    } else if (std::holds_alternative<decision::Drained>(action)) {
        m_onDrained();
    }
    if (!isTaken) {
        m_metrics.count("orders_dropped", "ring-full");
    }
}

bool DecideThread::sendToPeer(decision::SendToPeer order)
{
    const auto *const request = std::get_if<protocol::CallRequest>(&order.message);
    const std::optional<CallId> call = request == nullptr ? std::nullopt : std::optional{request->call};
    const DaemonId to = order.to;
    const bool isTaken = m_outward.toPeer.tryPush(std::move(order));
    if (!isTaken && call.has_value()) {
        handle(decision::SendFailed{.to = to, .call = *call});
    }
    return isTaken;
}

void DecideThread::announceFleetSize()
{
    const int daemons = static_cast<int>(m_core->roster().members().size());
    if (daemons != m_fleetSize && m_outward.toPlatform.tryPush(FleetSizeChanged{.daemons = daemons})) {
        m_fleetSize = daemons;
    }
}

void DecideThread::publishFigures()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    if (now - m_lastFigures < internal::figuresInterval) {
        return;
    }
    m_lastFigures = now;
    announceFleetSize();
    const admission::LoadReport load = m_core->load();
    m_metrics.set("in_flight", load.inFlight);
    m_metrics.set("concurrency_limit", load.limit);
    m_metrics.set("queued", load.queued);
    m_metrics.set("admission_level", load.level.priority + load.level.fraction);
}

void DecideThread::writeStatus()
{
    std::string document = statusDocument(m_core->roster(), m_core->configurationReport(), m_core->load());
    const std::lock_guard lock{m_statusMutex};
    m_status = std::move(document);
    m_isStatusWanted.store(false);
    m_statusWritten.notify_all();
}

} // namespace egretlatch::daemon
