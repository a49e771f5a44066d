#include <egretlatch/admission/server_rate_limit.hpp>

#include <algorithm>

namespace egretlatch::admission
{

namespace internal
{

// Runs start in the rhythm of their arrivals within this time.
constexpr std::chrono::duration<double> burstTime{0.25};

} // namespace internal

void ServerRateLimit::set(const std::optional<double> perSecond, const SteadyTime now)
{
    const bool isNew = !m_perSecond.has_value();
    refill(now);
    if (!perSecond.has_value()) {
        m_perSecond.reset();
        return;
    }
    m_perSecond = std::max(*perSecond, minPerSecond);
    m_tokens = isNew ? 0.0 : std::min(m_tokens, burst());
    m_refilledAt = now;
}

bool ServerRateLimit::mayStart(const SteadyTime now)
{
    refill(now);
    return !m_perSecond.has_value() || m_tokens >= 1.0;
}

void ServerRateLimit::noteStart()
{
    if (m_perSecond.has_value()) {
        m_tokens -= 1.0;
    }
}

void ServerRateLimit::refill(const SteadyTime now)
{
    if (!m_perSecond.has_value()) {
        return;
    }
    const std::chrono::duration<double> passed = now - m_refilledAt;
    m_tokens = std::min(m_tokens + passed.count() * *m_perSecond, burst());
    m_refilledAt = now;
}

double ServerRateLimit::burst() const
{
    return std::max(1.0, m_perSecond.value_or(0.0) * internal::burstTime.count());
}

} // namespace egretlatch::admission
