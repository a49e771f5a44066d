#ifndef EGRETLATCH_MEMBERSHIP_DEPARTURE_RECORD_HPP
#define EGRETLATCH_MEMBERSHIP_DEPARTURE_RECORD_HPP

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/ids.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/membership/departures.hpp>
#include <egretlatch/store/backoff.hpp>
#include <egretlatch/store/expired_rows.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::membership
{

/**
 * @brief Keeps the departures of the local backend server in the platform's table, where they outlast all daemons.
 *
 * A departure is saved before it is acknowledged, and an incarnation of this daemon reads those of earlier ones before it
 * trusts a report: one that the server sent before it left may arrive at any time after, and only the store still knows. Each
 * departure has a row of its own, so a write that takes effect late changes nothing. Rows expire; each departure pays for
 * the removal of expired ones, so their number does not grow with the age of the fleet.
 */
class DepartureRecord
{
public:
    /*! @brief Effects of a reply of the store. */
    struct Effects
    {
        /*! @brief Incarnations that left before this daemon started. */
        std::vector<std::string> read;
        /*! @brief Incarnation whose departure is saved now. */
        std::optional<std::string> saved;

        friend bool operator==(const Effects &, const Effects &) = default;
    };

    /**
     * @brief Creates a record; the first read is due at once.
     * @param self The daemon on the server's VM.
     * @param isFirstStart True if the fleet starts for the first time, so that there is nothing to read.
     * @param random Source of random numbers; must outlive it.
     */
    DepartureRecord(const DaemonId &self, bool isFirstStart, RandomSource &random);

    /**
     * @brief Determines the request that is due, if any.
     * @param now Current time.
     * @param wallNow Current wall clock time, to be compared with that of other VMs.
     * @return The request; its outcome goes to handleOutcome(), and until then no other is due.
     */
    [[nodiscard]] std::optional<store::Request> tick(SteadyTime now, WallTime wallNow);

    /**
     * @brief Handles the outcome of the request that tick() returned last.
     * @param outcome The outcome; a failed read or save is repeated by a later tick().
     * @param now Current time.
     * @param wallNow Current wall clock time.
     * @return Its effects.
     */
    [[nodiscard]] Effects handleOutcome(const store::Outcome &outcome, SteadyTime now, WallTime wallNow);

    /**
     * @brief Has a departure saved; ignored if it is saved or waits already, or if too many wait.
     * @param incarnation Name of the incarnation that leaves.
     */
    void add(const std::string &incarnation);

    /**
     * @brief Checks whether a departure is in the store.
     * @param incarnation Name of the incarnation.
     */
    [[nodiscard]] bool isSaved(const std::string &incarnation) const
    {
        return m_saved.contains(incarnation);
    }

    /*! @brief Takes the departures of before this daemon's start for known, as another daemon has sent them; they are still read. */
    void noteLearnedFromPeer() noexcept
    {
        m_isLearnedFromPeer = true;
    }

    /*! @brief Checks whether the store has been read. */
    [[nodiscard]] bool isRead() const noexcept
    {
        return m_isRead;
    }

    /*! @brief Checks whether the departures of before this daemon's start are known. */
    [[nodiscard]] bool knowsEarlier() const noexcept
    {
        return m_isRead || m_isLearnedFromPeer;
    }

private:
    /*! @brief Purpose of the request under way. */
    enum class Step {
        none,
        read,
        save,
        cleanUp,
    };

    [[nodiscard]] store::Request saveRequest(WallTime wallNow) const;
    void handleRead(const store::RowsReply &reply, Effects &effects);
    void handleSaved(Effects &effects);

    std::string m_prefix;
    RandomSource &m_random;
    store::Backoff m_backoff;
    SteadyTime m_nextAttempt;
    Step m_step{Step::none};
    bool m_isRead;
    bool m_isLearnedFromPeer{};
    /*! @brief Departures that are not saved yet, oldest first. */
    std::deque<std::string> m_unsaved;
    Departures m_saved;
    store::ExpiredRows m_expiredRows;
};

} // namespace egretlatch::membership

#endif
