#ifndef EGRETLATCH_DECISION_CRASH_DETECTOR_HPP
#define EGRETLATCH_DECISION_CRASH_DETECTOR_HPP

#include <deque>
#include <utility>
#include <vector>

#include <egretlatch/admission/crash_suspects.hpp>

namespace egretlatch::decision
{

/**
 * @brief Tells a crash of the backend server from single lost answers.
 *
 * A server that crashes breaks all connections and then takes none, and comes back as another instance, while one that
 * loses answers goes on.
 */
class CrashDetector
{
public:
    /**
     * @brief Takes a run whose connection broke before its answer.
     * @param request The request.
     * @param now Current time.
     */
    void noteLost(admission::RequestFingerprint request, SteadyTime now);

    /**
     * @brief Takes a run for which the server took no connection.
     * @param now Current time.
     * @return What ran when the server crashed; empty if it did not crash just now.
     */
    [[nodiscard]] std::vector<admission::RequestFingerprint> noteNeverConnected(SteadyTime now);

    /**
     * @brief Takes that another instance is in the server's place, without a word of the one before that it would leave.
     * @param now Current time.
     * @return What ran when the server crashed; empty if that was told already, or nothing was lost.
     */
    [[nodiscard]] std::vector<admission::RequestFingerprint> noteReplaced(SteadyTime now);

private:
    [[nodiscard]] std::vector<admission::RequestFingerprint> takeLost(Duration longestAgo, SteadyTime now);

    std::deque<std::pair<SteadyTime, admission::RequestFingerprint>> m_lost;
};

} // namespace egretlatch::decision

#endif
