#ifndef EGRETLATCH_DECISION_CRASH_DETECTOR_HPP
#define EGRETLATCH_DECISION_CRASH_DETECTOR_HPP

#include <deque>
#include <utility>
#include <vector>

#include <egretlatch/admission/crash_suspects.hpp>

namespace egretlatch::decision
{

/**
 * @brief Distinguishes a crash of the backend server from single lost answers.
 *
 * A crash breaks all connections; the server then accepts none and returns as another instance. A server that only loses
 * answers keeps running.
 */
class CrashDetector
{
public:
    /**
     * @brief Records a run whose connection broke before its answer.
     * @param request The request.
     * @param now Current time.
     */
    void noteLostRun(admission::RequestFingerprint request, SteadyTime now);

    /**
     * @brief Records a run for which the server accepted no connection.
     * @param now Current time.
     * @return Requests that were running when the server crashed; empty if no new crash is detected.
     */
    [[nodiscard]] std::vector<admission::RequestFingerprint> noteConnectFailure(SteadyTime now);

    /**
     * @brief Records that another instance replaced the server, which had not reported a departure.
     * @param now Current time.
     * @return Requests that were running when the server crashed; empty if the crash was already reported, or no run was lost.
     */
    [[nodiscard]] std::vector<admission::RequestFingerprint> noteReplacement(SteadyTime now);

private:
    [[nodiscard]] std::vector<admission::RequestFingerprint> takeLostRuns(Duration maxAge, SteadyTime now);

    std::deque<std::pair<SteadyTime, admission::RequestFingerprint>> m_lostRuns;
};

} // namespace egretlatch::decision

#endif
