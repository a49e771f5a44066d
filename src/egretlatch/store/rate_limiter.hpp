#ifndef EGRETLATCH_STORE_RATE_LIMITER_HPP
#define EGRETLATCH_STORE_RATE_LIMITER_HPP

#include <egretlatch/core/clock.hpp>

namespace egretlatch::store
{

/**
 * @brief One daemon's share of the requests that the fleet may send to the platform in a second.
 *
 * A token bucket that is filled at the fleet's rate divided by the number of daemons. Whatever goes wrong in all
 * daemons at once, the fleet stays under the rate that the platform carries.
 */
class RateLimiter
{
public:
    /**
     * @brief Builds a full bucket for a fleet of one.
     * @param fleetRate Requests a second of all daemons together.
     * @param burst Requests that one daemon may send at once after a rest; at least one.
     */
    RateLimiter(double fleetRate, double burst);

    /**
     * @brief Sets how many daemons share the rate.
     * @param daemons Their number; below one counts as one.
     */
    void setFleetSize(int daemons) noexcept;

    /**
     * @brief Takes the right to send one request.
     * @param now Current time.
     * @return False if the share is used up.
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
