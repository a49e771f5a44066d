#include <egretlatch/store/rate_limiter.hpp>

#include <algorithm>

namespace egretlatch::store
{

RateLimiter::RateLimiter(const double fleetRate, const double burst)
    : m_fleetRate{fleetRate}
    , m_burst{std::max(1.0, burst)}
    , m_tokens{m_burst}
{
}

void RateLimiter::setFleetSize(const int daemons) noexcept
{
    m_fleetSize = std::max(1, daemons);
}

bool RateLimiter::tryTake(const SteadyTime now) noexcept
{
    const double seconds = std::chrono::duration<double>{now - m_filled}.count();
    m_tokens = std::min(m_burst, m_tokens + std::max(0.0, seconds) * m_fleetRate / m_fleetSize);
    m_filled = now;
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

} // namespace egretlatch::store
