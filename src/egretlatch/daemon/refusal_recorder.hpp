#ifndef EGRETLATCH_DAEMON_REFUSAL_RECORDER_HPP
#define EGRETLATCH_DAEMON_REFUSAL_RECORDER_HPP

#include <mutex>
#include <optional>
#include <string>

#include <QObject>
#include <QTimer>

#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/account/refusal_ledger.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/daemon/platform_client.hpp>
#include <egretlatch/store/backoff.hpp>

namespace egretlatch::daemon
{

/*! @brief Stores the account of refusals at a bounded rate. Lives on the account thread; find() may be called from any thread. */
class RefusalRecorder final : public QObject
{
public:
    /**
     * @brief Creates a recorder.
     * @param access Access to the platform; without a URL, refusals are not stored and can only be looked up with find().
     * @param daemon Id of this daemon.
     * @param incarnation Incarnation of the daemon.
     * @param droppedRefusals Counts refusals that were dropped before they reached the recorder; must outlive it.
     * @param metrics Receives the counts of stored and failed batches; must outlive the recorder.
     */
    RefusalRecorder(
        const PlatformAccess &access, DaemonId daemon, Incarnation incarnation, account::DroppedTally &droppedRefusals, account::MetricsSink &metrics);

    /**
     * @brief Adds a refusal.
     * @param record Refusal to store.
     */
    void add(account::RefusalRecord record);

    /**
     * @brief Sets the number of daemons that share the platform's request rate.
     * @param daemons Number of daemons.
     */
    void setFleetSize(int daemons);

    /*! @brief Stores the remaining refusals and marks the end of the account. Runs a nested event loop for at most 2 s. */
    void close();

    /**
     * @brief Looks up a recent refusal.
     * @param id Id of the refusal.
     * @return Record as JSON, or nothing if the id is invalid or not among the recent refusals.
     */
    [[nodiscard]] std::optional<std::string> find(const std::string &id) const;

private:
    void tick();
    void store();
    void handleOutcome(const store::Outcome &outcome);

    bool m_hasPlatform;
    PlatformClient m_client;
    account::DroppedTally &m_droppedRefusals;
    account::MetricsSink &m_metrics;
    mutable std::mutex m_mutex;
    account::RefusalLedger m_ledger;
    SeededRandom m_random;
    store::Backoff m_backoff;
    SteadyTime m_nextStore;
    bool m_isStoring{};
    bool m_isClosing{};
    QTimer m_timer;
};

} // namespace egretlatch::daemon

#endif
