#ifndef EGRETLATCH_DECISION_CRASH_DETECTOR_HPP
#define EGRETLATCH_DECISION_CRASH_DETECTOR_HPP

#include <deque>
#include <vector>

#include <egretlatch/admission/request_identity.hpp>
#include <egretlatch/core/clock.hpp>

namespace egretlatch::decision
{

/**
 * @brief Distinguishes a crash of the backend server from single lost answers.
 *
 * A crash breaks all connections, or leaves all of them without an answer; the server then accepts no connection, returns as
 * another instance, or stops announcing itself. A server that only loses answers keeps running, which a later answer or
 * announcement shows.
 */
class CrashDetector
{
public:
    /**
     * @brief Records a run whose connection broke before its answer.
     * @param request The request.
     * @param now Current time.
     */
    void noteLostRun(const admission::RequestIdentity &request, SteadyTime now);

    /**
     * @brief Records a run that was given up before its answer.
     * @param request The request.
     * @param now Current time.
     */
    void noteAbandonedRun(const admission::RequestIdentity &request, SteadyTime now);

    /**
     * @brief Records an answer, which shows that the server did not crash before the run started.
     * @param startedAt Start of the answered run.
     */
    void noteAnswer(SteadyTime startedAt);

    /**
     * @brief Records an announcement of the same instance, which shows that it had not crashed some seconds ago.
     * @param now Current time.
     */
    void noteAnnouncement(SteadyTime now);

    /**
     * @brief Records a run for which the server accepted no connection.
     * @param now Current time.
     * @return Requests that were running when the server crashed; empty if no new crash is detected.
     */
    [[nodiscard]] std::vector<admission::RequestIdentity> noteConnectFailure(SteadyTime now);

    /**
     * @brief Records that the server has ended without having reported a departure: another instance replaced it, or it stopped
     * announcing itself.
     * @return Requests that were running when the server crashed; empty if the crash was already reported, or no run was lost.
     */
    [[nodiscard]] std::vector<admission::RequestIdentity> noteEnd();

    /*! @brief Records that the server has left as announced; its lost runs are not those of a crash. */
    void noteDeparture();

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_runs.size();
    }

private:
    struct UnansweredRun
    {
        SteadyTime endedAt;
        admission::RequestIdentity request;
        bool isLost{};
    };

    void add(const UnansweredRun &run);

    /*! @brief Unanswered runs, oldest first. */
    std::deque<UnansweredRun> m_runs;
};

} // namespace egretlatch::decision

#endif
