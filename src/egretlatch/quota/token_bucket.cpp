#include <egretlatch/quota/token_bucket.hpp>

#include <algorithm>

namespace egretlatch::quota
{

void TokenBucket::refill(const Limit &limit, const double initial, const SteadyTime now)
{
    if (!m_refilledAt.has_value()) {
        m_refilledAt = now;
        m_level = std::min(initial, limit.burst);
        return;
    }
    const double seconds = std::chrono::duration<double>(std::max(now - *m_refilledAt, Duration{})).count();
    m_refilledAt = std::max(*m_refilledAt, now);
    m_level = std::min(m_level + limit.ratePerSecond * seconds, limit.burst);
}

} // namespace egretlatch::quota
