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

/*! @brief Stores the account of refusals at a bounded rate. Lives on the account thread; find() may be called from any. */
class RefusalRecorder final : public QObject
{
public:
    /**
     * @brief Builds a recorder.
     * @param access Where the platform is; without one, refusals can only be looked up here.
     * @param daemon Whose account it is.
     * @param incarnation Which life of the daemon.
     * @param tally Refusals lost on the way here; must outlive the recorder.
     * @param metrics Takes its counts; must outlive the recorder.
     */
    RefusalRecorder(
        const PlatformAccess &access, DaemonId daemon, Incarnation incarnation, account::DroppedTally &droppedRefusals, account::MetricsSink &metrics);

    /**
     * @brief Enters a refusal.
     * @param record The refusal.
     */
    void add(account::RefusalRecord record);

    /**
     * @brief Sets how many daemons share the platform's rate.
     * @param daemons Their number.
     */
    void setFleetSize(int daemons);

    /*! @brief Stores what is left, for a short time at most, and marks the end of the account. Runs the event loop. */
    void close();

    /**
     * @brief Looks up a recent refusal.
     * @param id Its id.
     * @return The record as JSON, or nothing.
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
