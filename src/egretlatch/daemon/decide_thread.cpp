#include <egretlatch/daemon/decide_thread.hpp>

#include <algorithm>

#include <egretlatch/daemon/status_document.hpp>

namespace egretlatch::daemon
{

namespace internal
{

// Events taken from one ring before the others and the clock get their turn.
constexpr int batchSize = 64;
constexpr std::chrono::milliseconds statusInterval{200};

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

std::string DecideThread::status() const
{
    const std::lock_guard lock{m_statusMutex};
    return m_status;
}

void DecideThread::run()
{
    SteadyTime nextTick = m_core->nextTick();
    while (!m_isStopping.load()) {
        const bool hadEvents = drainRings();
        if (std::chrono::steady_clock::now() >= nextTick) {
            handle(decision::Tick{});
            publishStatus();
            nextTick = m_core->nextTick();
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
        isTaken = m_outward.toPeer.tryPush(std::move(*send));
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
        const platform::RequestId id = ask->id;
        isTaken = m_outward.toPlatform.tryPush(std::move(*ask));
        if (!isTaken) {
            handle(decision::PlatformAnswered{.id = id, .outcome = tl::unexpected{Error{ErrorCode::unavailable, "the ring to the platform is full"}}});
        }
    } else if (const auto *const inForce = std::get_if<decision::ManifestInForce>(&action)) {
        m_logger.info("configuration in force", {{"version", inForce->version}, {"hash", inForce->hash}});
        isTaken = m_outward.toFront.tryPush(ReadyChanged{.isReady = true});
    } else if (std::holds_alternative<decision::Drained>(action)) {
        m_onDrained();
    }
    if (!isTaken) {
        m_metrics.count("orders_dropped", "ring-full");
    }
}

void DecideThread::announceFleetSize()
{
    const int daemons = static_cast<int>(m_core->roster().members().size());
    if (daemons != m_fleetSize && m_outward.toPlatform.tryPush(FleetSizeChanged{.daemons = daemons})) {
        m_fleetSize = daemons;
    }
}

void DecideThread::publishStatus()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    if (now - m_lastStatus < internal::statusInterval) {
        return;
    }
    m_lastStatus = now;
    announceFleetSize();
    const admission::LoadReport load = m_core->load();
    m_metrics.set("in_flight", load.inFlight);
    m_metrics.set("concurrency_limit", load.limit);
    m_metrics.set("queued", load.queued);
    m_metrics.set("admission_level", load.level.priority + load.level.fraction);
    std::string document = statusDocument(m_core->roster(), m_core->configurationReport(), load);
    const std::lock_guard lock{m_statusMutex};
    m_status = std::move(document);
}

} // namespace egretlatch::daemon
