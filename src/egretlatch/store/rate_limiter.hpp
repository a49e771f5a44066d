#ifndef EGRETLATCH_STORE_RATE_LIMITER_HPP
#define EGRETLATCH_STORE_RATE_LIMITER_HPP

#include <egretlatch/core/clock.hpp>

namespace egretlatch::store
{

/**
 * @brief Limits the requests of one daemon to its share of the fleet's request rate to the platform.
 *
 * Token bucket, refilled at the fleet's rate divided by the number of daemons. Even if all daemons fail at the same time, the
 * fleet stays below the rate that the platform sustains.
 */
class RateLimiter
{
public:
    /**
     * @brief Constructs a full bucket for a fleet of one daemon.
     * @param fleetRate Requests per second of all daemons together.
     * @param burst Requests that one daemon may send in a burst after an idle period; at least one.
     */
    RateLimiter(double fleetRate, double burst);

    /**
     * @brief Sets the number of daemons that share the rate.
     * @param daemons Number of daemons; values below one count as one.
     */
    void setFleetSize(int daemons) noexcept;

    /**
     * @brief Takes a token for one request.
     * @param now Current time.
     * @return False if no token is available.
     */
    [[nodiscard]] bool tryTake(SteadyTime now) noexcept;

private:
    double m_fleetRate;
    double m_burst;
    double m_tokens;
    int m_fleetSize{1};
    SteadyTime m_filled;
};

} // namespace egretlatch::store

#endif
