#ifndef EGRETLATCH_CONFIGURATION_CONFIRMATION_HPP
#define EGRETLATCH_CONFIGURATION_CONFIRMATION_HPP

#include <cstddef>
#include <optional>

#include <egretlatch/configuration/read_duty.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/random_source.hpp>

namespace egretlatch::configuration
{

/**
 * @brief Time at which the store last confirmed that no newer configuration was accepted, and the decision to read it.
 *
 * A few daemons read the store for the fleet, and adverts carry the age of the latest confirmation. While the age is low, the
 * other daemons make no calls of their own. If readers are killed, paused, partitioned or refused by the store, the age grows.
 */
class Confirmation
{
public:
    /**
     * @brief Constructs a state without a confirmation.
     * @param random Source of random numbers; must outlive it.
     */
    explicit Confirmation(RandomSource &random);

    /**
     * @brief Records a confirmation received from the store or from another daemon.
     * @param at Time of the store's answer.
     */
    void note(SteadyTime at);

    /**
     * @brief Records an advert of another daemon, regardless of the age of its confirmation.
     * @param now Current time.
     */
    void noteHeard(SteadyTime now);

    /**
     * @brief Skips the delay before the first read.
     *
     * Meant for a few daemons of a fleet: after a power loss no daemon has a configuration, and all wait for the first reads.
     */
    void hastenFirstRead();

    /**
     * @brief Returns the age of the latest confirmation.
     * @param now Current time.
     * @return The age; nothing without a confirmation.
     */
    [[nodiscard]] std::optional<Duration> age(SteadyTime now) const;

    /**
     * @brief Decides whether this daemon should read the store now; to be called several times a second.
     * @param duty Its part in reading for the fleet.
     * @param daemons Known daemons, including this one.
     * @param isProofStale Set if the fleet needs a proof of the configuration's age, and this daemon's is missing or old.
     * @param now Current time.
     * @return The reason to read, or none.
     */
    [[nodiscard]] ReadReason reasonToRead(ReadDuty duty, std::size_t daemons, bool isProofStale, SteadyTime now);

private:
    [[nodiscard]] bool isTurnWhileStale(std::size_t daemons, SteadyTime now);

    RandomSource &m_random;
    std::optional<SteadyTime> m_confirmedAt;
    std::optional<SteadyTime> m_heardAt;
    std::optional<SteadyTime> m_startedAt;
    /*! @brief Time from which a daemon without any confirmation reads. */
    SteadyTime m_firstRead;
    bool m_isFirstReadHastened{};
    /*! @brief Time of this daemon's next turn to read while the confirmation is too old; empty while it is not. */
    std::optional<SteadyTime> m_staleTurn;
};

} // namespace egretlatch::configuration

#endif
