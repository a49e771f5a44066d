#include <egretlatch/daemon/refusal_recorder.hpp>

#include <QEventLoop>
#include <QJsonDocument>

namespace egretlatch::daemon
{

namespace internal
{

constexpr std::chrono::milliseconds tickInterval{500};
constexpr std::chrono::milliseconds closingTickInterval{20};
constexpr std::chrono::seconds storeInterval{30};
// Used while further batches are pending, as after an outage of the store.
constexpr std::chrono::seconds catchUpInterval{2};
constexpr std::chrono::seconds initialRetryDelay{1};
constexpr std::chrono::seconds maxRetryDelay{60};
constexpr std::chrono::seconds closeTimeout{2};

} // namespace internal

RefusalRecorder::RefusalRecorder(
    const PlatformAccess &access, DaemonId daemon, const Incarnation incarnation, account::DroppedTally &droppedRefusals, account::MetricsSink &metrics)
    : m_hasPlatform{!access.url.empty()}
    , m_client{access}
    , m_droppedRefusals{droppedRefusals}
    , m_metrics{metrics}
    , m_ledger{std::move(daemon), incarnation}
    , m_random{incarnation.value}
    , m_backoff{internal::initialRetryDelay, internal::maxRetryDelay}
{
    // The first interval has a random length, so that daemons that started together do not store at the same time.
    m_nextStore = std::chrono::steady_clock::now() + m_random.below(internal::storeInterval);
    connect(&m_timer, &QTimer::timeout, this, &RefusalRecorder::tick);
    m_timer.start(internal::tickInterval);
}

void RefusalRecorder::add(account::RefusalRecord record)
{
    const std::lock_guard lock{m_mutex};
    m_ledger.add(std::move(record));
}

void RefusalRecorder::setFleetSize(const int daemons)
{
    m_client.setFleetSize(daemons);
}

void RefusalRecorder::close()
{
    if (!m_hasPlatform) {
        return;
    }
    {
        const std::lock_guard lock{m_mutex};
        m_ledger.close(std::chrono::system_clock::now());
    }
    m_isClosing = true;
    m_nextStore = {};
    m_timer.setInterval(internal::closingTickInterval);
    tick();
    QEventLoop loop;
    QTimer::singleShot(internal::closeTimeout, &loop, &QEventLoop::quit);
    connect(&m_timer, &QTimer::timeout, &loop, [this, &loop] {
        if (!m_isStoring) {
            loop.quit();
        }
    });
    if (m_isStoring) {
        loop.exec();
    }
}

std::optional<std::string> RefusalRecorder::find(const std::string &id) const
{
    const std::optional<Uuid> parsed = Uuid::parse(id);
    if (!parsed.has_value()) {
        return std::nullopt;
    }
    const std::lock_guard lock{m_mutex};
    const std::optional<account::RefusalRecord> record = m_ledger.find(*parsed);
    return record.has_value() ? std::optional{QJsonDocument{account::toJson(*record)}.toJson(QJsonDocument::Compact).toStdString()} : std::nullopt;
}

void RefusalRecorder::tick()
{
    if (m_hasPlatform && !m_isStoring && std::chrono::steady_clock::now() >= m_nextStore) {
        store();
    }
}

void RefusalRecorder::store()
{
    std::optional<account::AccountBatch> batch;
    {
        const std::lock_guard lock{m_mutex};
        if (const std::optional<account::DroppedRefusals> dropped = m_droppedRefusals.take()) {
            m_ledger.addDropped(*dropped);
        }
        batch = m_ledger.nextBatch();
    }
    if (!batch.has_value()) {
        m_nextStore = std::chrono::steady_clock::now() + internal::storeInterval;
        return;
    }
    m_isStoring = true;
    const store::ObjectPut put{.name = account::objectName(*batch), .bytes = account::encodeBatch(*batch)};
    m_client.send(put, [this](const store::Outcome &outcome) {
        handleOutcome(outcome);
    });
}

void RefusalRecorder::handleOutcome(const store::Outcome &outcome)
{
    m_isStoring = false;
    const SteadyTime now = std::chrono::steady_clock::now();
    if (!outcome.has_value()) {
        // The retry puts the same batch under the same name, so it does not matter if the failed put took effect.
        m_metrics.count("account_batches", "failed");
        m_nextStore = now + m_backoff.next(m_random);
        return;
    }
    m_metrics.count("account_batches", "stored");
    m_backoff.reset();
    bool hasPending = false;
    {
        const std::lock_guard lock{m_mutex};
        m_ledger.acknowledge();
        hasPending = m_ledger.pendingCount() > 0;
    }
    if (m_isClosing) {
        store();
        return;
    }
    m_nextStore = now + (hasPending ? Duration{internal::catchUpInterval} : Duration{internal::storeInterval});
}

} // namespace egretlatch::daemon
