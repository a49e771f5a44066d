#ifndef EGRETLATCH_MEMBERSHIP_CONTACT_BOOK_HPP
#define EGRETLATCH_MEMBERSHIP_CONTACT_BOOK_HPP

#include <optional>
#include <vector>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/membership/member.hpp>
#include <egretlatch/store/backoff.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::membership
{

/**
 * @brief Maintains contact rows in the platform's table, by which a new daemon discovers the fleet.
 *
 * The number of rows is fixed, and the total rate of writes does not grow with the fleet: each daemon writes with a
 * probability that falls with the number of members. A daemon that starts reads once, and writes only if it finds few rows or
 * nobody behind them. Without the store a new daemon has only the peers in its settings.
 */
class ContactBook
{
public:
    /**
     * @brief Creates a contact book; the first read is due at once.
     * @param self Id and address of this daemon, as published to others.
     * @param random Source of random numbers; must outlive it.
     */
    ContactBook(Contact self, RandomSource &random);

    /**
     * @brief Determines the request that is due, if any.
     * @param others Number of other members that are not gone.
     * @param now Current time.
     * @return The request to send to the platform; its outcome goes to handleOutcome().
     */
    [[nodiscard]] std::optional<store::Request> tick(std::size_t others, SteadyTime now);

    /**
     * @brief Extracts the contacts from the platform's response, and decides whether this daemon adds its own row.
     * @param outcome The rows, or an error; a failed request is retried by a later tick().
     * @param now Current time.
     * @return The daemons listed in the rows, without this one. Rows that cannot be parsed are skipped.
     */
    [[nodiscard]] std::vector<Contact> handleOutcome(const store::Outcome &outcome, SteadyTime now);

    /*! @brief Tells whether one of the rows names this daemon, as far as it has read or written them. */
    [[nodiscard]] bool isListed() const noexcept
    {
        return m_isListed;
    }

private:
    [[nodiscard]] std::optional<store::Request> tickIsolated(SteadyTime now);
    [[nodiscard]] std::optional<store::Request> tickJoined(std::size_t others, SteadyTime now);
    [[nodiscard]] store::Request writeRequest();

    Contact m_self;
    RandomSource &m_random;
    store::Backoff m_readBackoff;
    SteadyTime m_nextRead;
    /*! @brief Time at which an isolated daemon writes its row; empty before it has read the rows, or if its row is there. */
    std::optional<SteadyTime> m_isolatedWrite;
    bool m_isListed{};
    /*! @brief Time of the next draw whether a daemon that knows others refreshes its row. */
    std::optional<SteadyTime> m_nextWriteTurn;
};

} // namespace egretlatch::membership

#endif
