#ifndef EGRETLATCH_DECISION_CRASH_DETECTOR_HPP
#define EGRETLATCH_DECISION_CRASH_DETECTOR_HPP

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include <egretlatch/admission/request_identity.hpp>
#include <egretlatch/core/clock.hpp>

namespace egretlatch::decision
{

/*! @brief Requests that were running at a server when it crashed. */
struct CrashedRuns
{
    /*! @brief Requests whose connections broke while the server was known to run. */
    std::vector<admission::RequestIdentity> broken;
    /*! @brief Requests without an answer from a server that had been silent. */
    std::vector<admission::RequestIdentity> unanswered;

    [[nodiscard]] bool isEmpty() const noexcept
    {
        return broken.empty() && unanswered.empty();
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return broken.size() + unanswered.size();
    }

    friend bool operator==(const CrashedRuns &, const CrashedRuns &) = default;
};

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
     * @brief Records a run on trial whose connection broke before its answer.
     * @param request The request.
     * @param now Current time.
     */
    void noteLostTrial(const admission::RequestIdentity &request, SteadyTime now);

    /**
     * @brief Records an answer, which shows that the server did not crash before the run started.
     * @param startedAt Start of the answered run.
     * @param now Current time.
     */
    void noteAnswer(SteadyTime startedAt, SteadyTime now);

    /**
     * @brief Records an announcement of the same instance, which shows that it had not crashed some seconds ago.
     * @param now Current time.
     */
    void noteAnnouncement(SteadyTime now);

    /**
     * @brief Records the first announcement of an instance.
     * @param now Current time.
     */
    void noteInstance(SteadyTime now) noexcept
    {
        m_lastSign = now;
    }

    /**
     * @brief Records a run for which the server accepted no connection.
     * @param now Current time.
     * @return Requests that were running when the server crashed; empty if no new crash is detected.
     */
    [[nodiscard]] CrashedRuns noteConnectFailure(SteadyTime now);

    /**
     * @brief Records that the server has ended without having reported a departure: another instance replaced it, or it stopped
     * announcing itself.
     * @return Requests that were running when the server crashed; empty if the crash was already reported, or no run was lost.
     */
    [[nodiscard]] CrashedRuns noteEnd();

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
        /*! @brief Set if the request may have caused the loss: the server was known to run right before it. */
        bool isBroken{};
    };

    void add(const UnansweredRun &run);
    void forgetBefore(SteadyTime time);

    /*! @brief Unanswered runs, oldest first. */
    std::deque<UnansweredRun> m_runs;
    /*! @brief Time of the last answer or announcement; empty before the first. */
    std::optional<SteadyTime> m_lastSign;
};

} // namespace egretlatch::decision

#endif
