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
 * @brief Keeps a few rows in the platform's table by which a newcomer finds the fleet.
 *
 * The rows are few whatever the size of the fleet, and so are their reads and writes: the more members there are, the
 * less often each takes a turn. Without the store a newcomer has the peers of its settings.
 */
class ContactBook
{
public:
    /**
     * @brief Builds it; the first read is due at once.
     * @param self This daemon, as others are to find it.
     * @param random Source of random numbers; must outlive it.
     */
    ContactBook(Contact self, RandomSource &random);

    /**
     * @brief Lets time pass.
     * @param others Number of other members that take part.
     * @param now Current time.
     * @return What to ask the platform, if anything; its outcome goes to handleOutcome().
     */
    [[nodiscard]] std::optional<store::Request> tick(std::size_t others, SteadyTime now);

    /**
     * @brief Takes what the platform answered.
     * @param outcome The rows, or why there are none; a failure is tried again in time.
     * @return The daemons of the rows, without this one.
     */
    [[nodiscard]] std::vector<Contact> handleOutcome(const store::Outcome &outcome) const;

private:
    [[nodiscard]] store::Request writeRequest() const;

    Contact m_self;
    RandomSource &m_random;
    store::Backoff m_readBackoff;
    SteadyTime m_nextRead;
    std::optional<SteadyTime> m_nextWriteTurn;
};

} // namespace egretlatch::membership

#endif
