#include <egretlatch/routing/server_record.hpp>

#include <algorithm>
#include <cmath>

namespace egretlatch::routing
{

namespace internal
{

constexpr std::chrono::milliseconds reportLifetime{200};
constexpr std::chrono::milliseconds refusalLifetime{100};
constexpr std::chrono::seconds healthWindow{2};
constexpr std::chrono::seconds rampTime{3};
constexpr std::chrono::seconds firstEjection{1};
constexpr std::chrono::seconds ejectionHistory{10};
constexpr std::chrono::seconds expiryGrace{1};
constexpr int maxDoublings = 3;
constexpr double minAttempts = 4.0;
// A recently ejected server can be ejected again after a single failed call instead of four.
constexpr double minAttemptsOnProbation = 0.9;
constexpr double minCapacityShare = 0.1;
constexpr double loadAfterRefusal = 1.5;

[[nodiscard]] static double ratio(const Duration part, const Duration whole)
{
    return std::chrono::duration<double>(part) / std::chrono::duration<double>(whole);
}

} // namespace internal

ServerRecord::ServerRecord(const int slots, const SteadyTime since, const bool isCold)
    : m_slots{slots}
    , m_rampBegin{since}
    , m_hasRamp{isCold}
    , m_decayedAt{since}
{
}

void ServerRecord::begin(const SteadyTime deadline)
{
    m_inFlight.insert(deadline);
}

void ServerRecord::end(const AttemptResult &result, const bool isFailure, const SteadyTime now)
{
    if (!m_inFlight.empty()) {
        m_inFlight.erase(m_inFlight.begin());
    }
    if (result.load.has_value() && result.load->limit > 0) {
        m_report = *result.load;
        m_reportedAt = now;
    }
    if (result.outcome == AttemptOutcome::refused) {
        m_refusedAt = now;
        return;
    }
    decay(now);
    m_attempts += 1.0;
    m_failures += isFailure ? 1.0 : 0.0;
}

void ServerRecord::expire(const SteadyTime now)
{
    m_inFlight.erase(m_inFlight.begin(), m_inFlight.lower_bound(now - internal::expiryGrace));
}

void ServerRecord::decay(const SteadyTime now)
{
    const double retained = std::exp(-internal::ratio(now - m_decayedAt, internal::healthWindow));
    m_attempts *= retained;
    m_failures *= retained;
    m_decayedAt = now;
}

std::optional<double> ServerRecord::failureShare(const SteadyTime now) const
{
    const double retained = std::exp(-internal::ratio(now - m_decayedAt, internal::healthWindow));
    const bool isOnProbation = m_ejections > 0 && now - m_ejectedUntil < internal::ejectionHistory;
    if (m_attempts * retained < (isOnProbation ? internal::minAttemptsOnProbation : internal::minAttempts)) {
        return std::nullopt;
    }
    return m_failures / m_attempts;
}

void ServerRecord::eject(const SteadyTime now)
{
    if (now - m_ejectedUntil > internal::ejectionHistory) {
        m_ejections = 0;
    }
    const Duration duration = internal::firstEjection * (1 << std::min(m_ejections, internal::maxDoublings));
    ++m_ejections;
    m_ejectedUntil = now + duration;
    m_rampBegin = m_ejectedUntil;
    m_hasRamp = true;
    m_attempts = 0.0;
    m_failures = 0.0;
}

double ServerRecord::capacityShare(const SteadyTime now) const
{
    if (!m_hasRamp) {
        return 1.0;
    }
    return std::clamp(internal::ratio(now - m_rampBegin, internal::rampTime), internal::minCapacityShare, 1.0);
}

double ServerRecord::freshness(const SteadyTime now) const
{
    return std::clamp(1.0 - internal::ratio(now - m_reportedAt, internal::reportLifetime), 0.0, 1.0);
}

double ServerRecord::load(const SteadyTime now) const
{
    const double fresh = freshness(now);
    const double reported = fresh * (m_report.inFlight + m_report.queued);
    const double limit = m_report.limit > 0 && fresh > 0.0 ? m_report.limit : m_slots;
    const double capacity = std::max(limit, 1.0) * capacityShare(now);
    const double estimate = (std::max(reported, static_cast<double>(inFlight())) + 1.0) / capacity;
    // A server that refuses calls has few of them in flight and would otherwise look idle.
    const bool hasRefused = now - m_refusedAt < internal::refusalLifetime;
    return hasRefused ? std::max(estimate, internal::loadAfterRefusal) : estimate;
}

} // namespace egretlatch::routing
