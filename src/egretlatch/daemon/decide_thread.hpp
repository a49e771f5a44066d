#ifndef EGRETLATCH_DAEMON_DECIDE_THREAD_HPP
#define EGRETLATCH_DAEMON_DECIDE_THREAD_HPP

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <egretlatch/account/dropped_tally.hpp>
#include <egretlatch/account/metrics_sink.hpp>
#include <egretlatch/core/logger.hpp>
#include <egretlatch/daemon/condition_waker.hpp>
#include <egretlatch/daemon/rings.hpp>
#include <egretlatch/decision/core.hpp>

namespace egretlatch::daemon
{

/*! @brief Runs the decision core: reads events from the event rings and writes actions to the action rings. */
class DecideThread
{
public:
    using DrainedHandler = std::function<void()>;

    /**
     * @brief Creates the thread without starting it.
     * @param core Decision core; used by this thread only once it runs.
     * @param eventRings Rings to read from; must outlive this object.
     * @param actionRings Rings to write to; must outlive this object.
     * @param waker Waker of the event rings; must outlive this object.
     * @param metrics Receives gauges and the count of dropped actions; must outlive this object.
     * @param logger Receives log lines; must outlive this object.
     * @param droppedRefusals Counts refusals dropped because the ring to the account thread was full; must outlive this object.
     * @param onDrained Called on this thread when nothing is in flight after a drain.
     */
    DecideThread(std::unique_ptr<decision::Core> core,
                 EventRings &eventRings,
                 ActionRings &actionRings,
                 ConditionWaker &waker,
                 account::MetricsSink &metrics,
                 const Logger &logger,
                 account::DroppedTally &droppedRefusals,
                 DrainedHandler onDrained);
    DecideThread(const DecideThread &) = delete;
    DecideThread &operator=(const DecideThread &) = delete;

    /*! @brief Stops the thread and waits for it. */
    ~DecideThread();

    /*! @brief Starts the thread. */
    void start();

    /**
     * @brief Returns the status of this daemon for `/status`. May be called from any thread.
     * @return A JSON document; the last one written if this thread does not write a new one within 100 ms.
     */
    [[nodiscard]] std::string status();

private:
    void run();
    [[nodiscard]] bool drainRings();
    [[nodiscard]] bool drainRing(Ring<decision::Event> &ring);
    void handle(const decision::Event &event);
    void execute(decision::Action action);
    void publishGauges();
    void writeStatus();
    [[nodiscard]] bool sendToPeer(decision::SendToPeer action);
    void forwardFleetSize();

    std::unique_ptr<decision::Core> m_core;
    EventRings &m_eventRings;
    ActionRings &m_actionRings;
    ConditionWaker &m_waker;
    account::MetricsSink &m_metrics;
    const Logger &m_logger;
    account::DroppedTally &m_droppedRefusals;
    DrainedHandler m_onDrained;
    std::atomic<bool> m_isStopping{false};
    SteadyTime m_lastGaugeUpdate;
    int m_fleetSize{};
    std::atomic<bool> m_isStatusRequested{false};
    std::mutex m_statusMutex;
    std::condition_variable m_statusWritten;
    std::string m_status{"{}"};
    std::thread m_thread;
};

} // namespace egretlatch::daemon

#endif
