#ifndef EGRETLATCH_STORE_EXPIRED_ROWS_HPP
#define EGRETLATCH_STORE_EXPIRED_ROWS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::store
{

/**
 * @brief Removes the expired rows of all daemons from a range of the table, so that their number does not grow with the age of the fleet.
 *
 * The value of each row begins with the time at which it was saved. Each saved row pays for the removal of expired ones: every
 * eighth looks for some of them from a random key on, so keys have to be spread evenly, by a hash right behind the prefix.
 */
class ExpiredRows
{
public:
    /**
     * @brief Builds the removal; nothing is due.
     * @param prefix Prefix of the keys of the range.
     * @param lifetime Time from which a row is expired.
     * @param random Source of random numbers; must outlive it.
     */
    ExpiredRows(std::string prefix, std::chrono::milliseconds lifetime, RandomSource &random);

    /**
     * @brief Returns the text that a row's value has to begin with, and that no digit may follow.
     * @param wallNow Time at which the row is saved.
     */
    [[nodiscard]] static std::string stamp(WallTime wallNow);

    /**
     * @brief Returns a hash as it has to stand in the keys behind the prefix.
     * @param hash The hash.
     */
    [[nodiscard]] static std::string hashText(std::uint64_t hash);

    /**
     * @brief Checks whether a row is expired, or unreadable.
     * @param row The row.
     * @param wallNow Current wall clock time.
     */
    [[nodiscard]] bool isExpired(const Row &row, WallTime wallNow) const;

    /*! @brief Records that a row was saved. */
    void noteSaved();

    /**
     * @brief Determines the request that is due, if any.
     * @return The request; its outcome goes to handleOutcome() if it succeeded. A failed one is not repeated.
     */
    [[nodiscard]] std::optional<Request> next();

    /**
     * @brief Handles the reply to the request that next() returned last.
     * @param reply The reply.
     * @param wallNow Current wall clock time.
     */
    void handleReply(const Reply &reply, WallTime wallNow);

private:
    std::string m_prefix;
    std::chrono::milliseconds m_lifetime;
    RandomSource &m_random;
    bool m_isScanDue{};
    std::vector<Row> m_expired;
};

} // namespace egretlatch::store

#endif
