#ifndef EGRETLATCH_ACCOUNT_REFUSAL_LEDGER_HPP
#define EGRETLATCH_ACCOUNT_REFUSAL_LEDGER_HPP

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include <egretlatch/account/account_batch.hpp>
#include <egretlatch/account/dropped_tally.hpp>

namespace egretlatch::account
{

/*! @brief Limits of a refusal ledger. */
struct RefusalLedgerLimits
{
    /*! @brief Maximum number of refusals that wait to be stored; further ones are dropped and counted. */
    std::size_t maxPending{20'000};
    /*! @brief Maximum number of refusals in one batch. */
    std::size_t maxBatch{5000};
    /*! @brief Maximum number of recent refusals that can be looked up, stored or not. */
    std::size_t maxRecent{5000};

    friend bool operator==(const RefusalLedgerLimits &, const RefusalLedgerLimits &) = default;
};

/*! @brief Holds a daemon's refusals until they are in the object store. Bounded; does no I/O itself. */
class RefusalLedger
{
public:
    /**
     * @brief Creates an empty ledger.
     * @param daemon Id of the daemon.
     * @param incarnation Incarnation of the daemon.
     * @param limits Limits of the ledger.
     */
    RefusalLedger(DaemonId daemon, Incarnation incarnation, RefusalLedgerLimits limits = {});

    /**
     * @brief Adds a refusal.
     * @param record Refusal to add.
     */
    void add(RefusalRecord record);

    /**
     * @brief Adds refusals that were dropped before they reached the ledger.
     * @param dropped Count and its time span.
     */
    void addDropped(const DroppedRefusals &dropped);

    /**
     * @brief Returns the batch to store next.
     *
     * Returns the same batch until it is acknowledged, so that a put whose response was lost is repeated under the same name.
     * @return Batch, or nothing if all refusals are stored.
     */
    [[nodiscard]] std::optional<AccountBatch> nextBatch();

    /*! @brief Removes the batch last returned by nextBatch(), after it was stored. */
    void acknowledge();

    /**
     * @brief Marks the end of this incarnation. A last batch with `isLast` set follows, even without refusals.
     * @param now Current time.
     */
    void close(WallTime now);

    /**
     * @brief Looks up a refusal.
     * @param id Id of the refusal.
     * @return Record, or nothing if it is not among the recent ones.
     */
    [[nodiscard]] std::optional<RefusalRecord> find(const Uuid &id) const;

    /**
     * @brief Returns the number of refusals that are not stored yet.
     * @return Number of refusals, including those of an unacknowledged batch.
     */
    [[nodiscard]] std::size_t pendingCount() const noexcept
    {
        return m_pending;
    }

private:
    struct Minute
    {
        std::deque<RefusalRecord> refusals;
        std::vector<DroppedRefusals> dropped;
    };

    void addToRecent(const RefusalRecord &record);
    void recordOverflow();

    DaemonId m_daemon;
    Incarnation m_incarnation;
    RefusalLedgerLimits m_limits;
    std::map<WallTime, Minute> m_minutes;
    std::size_t m_pending{};
    DroppedTally m_overflow;
    std::optional<AccountBatch> m_batch;
    std::uint64_t m_sequence{};
    std::optional<WallTime> m_closedAt;
    std::deque<Uuid> m_recentOrder;
    std::unordered_map<Uuid, RefusalRecord> m_recent;
};

} // namespace egretlatch::account

#endif
