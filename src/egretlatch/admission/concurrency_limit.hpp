#ifndef EGRETLATCH_ADMISSION_CONCURRENCY_LIMIT_HPP
#define EGRETLATCH_ADMISSION_CONCURRENCY_LIMIT_HPP

#include <egretlatch/admission/gate.hpp>

namespace egretlatch::admission
{

/*! @brief A run that ended, as the limit looks at it. */
struct LimitSample
{
    RunOutcome outcome{};
    /*! @brief Time that the run itself took, without its inner calls. */
    Duration ownLatency{};
    /*! @brief Time that its kind is declared to take. */
    Duration cost{};
    /*! @brief Whether every slot was in use until it ended. */
    bool isSaturated{};

    friend bool operator==(const LimitSample &, const LimitSample &) = default;
};

/**
 * @brief How many requests a backend server runs at a time.
 *
 * A server may have less room than it announces: it queues inside, so latency grows with concurrency and throughput does
 * not. It may also just be slow, and then fewer runs at a time only lose throughput. The two look alike in latency alone.
 * So a lower limit is tried for one window and kept only if the server gets as much done with it.
 */
class ConcurrencyLimit
{
public:
    /**
     * @brief Takes the announced slots; the same number again changes nothing.
     * @param slots Number of slots.
     */
    void setSlots(int slots);

    /**
     * @brief Takes the end of a run.
     * @param sample The run.
     * @param now Current time.
     */
    void note(const LimitSample &sample, SteadyTime now);

    /**
     * @brief Says that the announced slots are what the server runs at a time, and that nobody else sends it requests.
     *
     * Never sent more than that, a server that rejects requests or loses connections does so for reasons of its own, and a
     * lower limit would only leave its slots empty.
     */
    void trustSlots() noexcept
    {
        m_areSlotsTrusted = true;
    }

    [[nodiscard]] int value() const noexcept
    {
        return m_limit;
    }

private:
    struct Window
    {
        SteadyTime begin;
        int runs{};
        int saturatedRuns{};
        int rejections{};
        /*! @brief Sum of own latency over declared cost. */
        double slownessSum{};
    };

    void backOff(SteadyTime now);
    void closeWindow(SteadyTime now);
    void evaluateTrial(double throughput);
    void beginTrial(double throughput);
    void grow();

    bool m_areSlotsTrusted{};
    int m_slots{};
    int m_limit{};
    Window m_window;
    double m_baselineSlowness{};
    bool m_isTrial{};
    int m_limitBeforeTrial{};
    double m_throughputBeforeTrial{};
    /*! @brief Runs of before the trial that have not ended. */
    int m_runsToSkip{};
    int m_windowsToWait{};
    int m_failedTrials{};
    SteadyTime m_lastBackOff;
};

} // namespace egretlatch::admission

#endif
