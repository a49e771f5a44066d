#ifndef EGRETLATCH_ADMISSION_CONCURRENCY_LIMIT_HPP
#define EGRETLATCH_ADMISSION_CONCURRENCY_LIMIT_HPP

#include <egretlatch/admission/gate.hpp>

namespace egretlatch::admission
{

/*! @brief Ended run, as a sample for the limit. */
struct LimitSample
{
    RunOutcome outcome{};
    /*! @brief Time that the run took, without its inner calls. */
    Duration ownLatency{};
    /*! @brief Declared run time of its kind. */
    Duration cost{};
    /*! @brief True if every slot was in use until it ended. */
    bool isSaturated{};

    friend bool operator==(const LimitSample &, const LimitSample &) = default;
};

/**
 * @brief Adaptive limit on the number of requests that a backend server runs at a time.
 *
 * A server may have less capacity than it announces: it queues internally, so latency grows with concurrency while
 * throughput does not. It may also just be slow, and then a lower limit only loses throughput. Latency alone does not tell
 * the two cases apart, so a lower limit is tried for one window and kept only if throughput stays about the same.
 */
class ConcurrencyLimit
{
public:
    /**
     * @brief Sets the announced slots; setting the same number again has no effect.
     * @param slots Number of slots.
     */
    void setSlots(int slots);

    /**
     * @brief Records the end of a run.
     * @param sample The run.
     * @param now Current time.
     */
    void note(const LimitSample &sample, SteadyTime now);

    /**
     * @brief Declares that the server can run as many requests as it announces slots, and that only this daemon sends it
     * requests.
     *
     * Such a server never receives more requests than it has slots, so rejections and lost connections have other causes,
     * and a lower limit would only leave its slots idle.
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
    /*! @brief Unfinished runs that started before the trial. */
    int m_runsToSkip{};
    int m_windowsToWait{};
    int m_failedTrials{};
    SteadyTime m_lastBackOff;
};

} // namespace egretlatch::admission

#endif
