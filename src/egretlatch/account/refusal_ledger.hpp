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

/*! @brief How much a ledger holds. */
struct RefusalLedgerLimits
{
    /*! @brief Refusals that wait to be stored; later ones are dropped and counted. */
    std::size_t maxPending{20'000};
    /*! @brief Refusals of one batch. */
    std::size_t maxBatch{5000};
    /*! @brief Refusals that can be looked up, stored or not. */
    std::size_t maxRecent{5000};

    friend bool operator==(const RefusalLedgerLimits &, const RefusalLedgerLimits &) = default;
};

/*! @brief One daemon's account of its refusals until the object store has them; bounded, does no input or output. */
class RefusalLedger
{
public:
    /**
     * @brief Builds an empty ledger.
     * @param daemon Whose account it is.
     * @param incarnation Which life of the daemon.
     * @param limits How much it holds.
     */
    RefusalLedger(DaemonId daemon, Incarnation incarnation, RefusalLedgerLimits limits = {});

    /**
     * @brief Enters a refusal.
     * @param record The refusal.
     */
    void add(RefusalRecord record);

    /**
     * @brief Enters what was lost before it came here.
     * @param dropped The count with its span.
     */
    void addDropped(const DroppedRefusals &dropped);

    /**
     * @brief Gives the batch to store next.
     *
     * The same one until it is acknowledged, so that a put whose answer was lost is repeated under the same name.
     * @return The batch, or nothing if all is stored.
     */
    [[nodiscard]] std::optional<AccountBatch> nextBatch();

    /*! @brief Forgets the batch that nextBatch() gave last: the store has it. */
    void acknowledge();

    /**
     * @brief Marks the end of this life; the last batch says so, and is made even without refusals.
     * @param now Current time.
     */
    void close(WallTime now);

    /**
     * @brief Looks up a refusal.
     * @param id Its id.
     * @return The record, or nothing if it is not among the recent ones.
     */
    [[nodiscard]] std::optional<RefusalRecord> find(const Uuid &id) const;

    /**
     * @brief Gives how many refusals wait to be stored.
     * @return The number, those of an unacknowledged batch included.
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
