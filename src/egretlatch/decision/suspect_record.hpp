#ifndef EGRETLATCH_DECISION_SUSPECT_RECORD_HPP
#define EGRETLATCH_DECISION_SUSPECT_RECORD_HPP

#include <deque>
#include <optional>
#include <vector>

#include <egretlatch/admission/crash_suspects.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/store/backoff.hpp>
#include <egretlatch/store/expired_rows.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::decision
{

/*! @brief Suspect content, with the crashes that are known of it. */
struct RecordedSuspect
{
    admission::RequestFingerprint content{};
    std::vector<admission::KnownCrash> crashes;

    friend bool operator==(const RecordedSuspect &, const RecordedSuspect &) = default;
};

/**
 * @brief Keeps the evidence against requests that crash backend servers in the platform's table, where it outlasts all daemons.
 *
 * Else such a request had its crashes anew after each loss of all daemons. Evidence of two crashes is saved, by the daemons
 * beside the servers that crashed; a single crash names all requests that ran there, and would be a row for each. Rows expire.
 * A request may have run well since its row was written, so what is read shall lead to a trial at most.
 */
class SuspectRecord
{
public:
    /**
     * @brief Creates a record.
     * @param isFirstStart True if the fleet starts for the first time, so that there is nothing to read; else the read is due at once.
     * @param random Source of random numbers; must outlive it.
     */
    SuspectRecord(bool isFirstStart, RandomSource &random);

    /**
     * @brief Records that the evidence against a content may have changed by a crash of the local server.
     * @param content The content; ignored if too many wait.
     */
    void noteCrash(admission::RequestFingerprint content);

    /**
     * @brief Determines the request that is due, if any.
     * @param suspects The present evidence.
     * @param now Current time.
     * @param wallNow Current wall clock time, to be compared with that of other VMs.
     * @return The request; its outcome goes to handleOutcome(), and until then no other is due.
     */
    [[nodiscard]] std::optional<store::Request> tick(const admission::CrashSuspects &suspects, SteadyTime now, WallTime wallNow);

    /**
     * @brief Handles the outcome of the request that tick() returned last.
     * @param outcome The outcome; a failed read or save is repeated by a later tick().
     * @param now Current time.
     * @param wallNow Current wall clock time.
     * @return Suspects that the store names.
     */
    [[nodiscard]] std::vector<RecordedSuspect> handleOutcome(const store::Outcome &outcome, SteadyTime now, WallTime wallNow);

private:
    /*! @brief Purpose of the request under way. */
    enum class Step {
        none,
        read,
        save,
        cleanUp,
    };

    [[nodiscard]] std::optional<store::Request> nextSave(const admission::CrashSuspects &suspects, SteadyTime now, WallTime wallNow);
    [[nodiscard]] std::vector<RecordedSuspect> suspectsFrom(const store::Reply &reply, WallTime wallNow) const;

    RandomSource &m_random;
    store::Backoff m_backoff;
    SteadyTime m_nextAttempt;
    Step m_step{Step::none};
    bool m_isRead;
    /*! @brief Contents whose evidence may have to be saved, oldest first. */
    std::deque<admission::RequestFingerprint> m_changed;
    /*! @brief Content that the request under way saves. */
    admission::RequestFingerprint m_saving{};
    store::ExpiredRows m_expiredRows;
};

} // namespace egretlatch::decision

#endif
