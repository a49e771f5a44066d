#include <egretlatch/configuration/confirmation.hpp>

#include <algorithm>

namespace egretlatch::configuration
{

namespace internal
{

// A daemon that starts usually receives the configuration from another one within 100 ms. The random part lets only a few daemons
// read when a whole fleet starts at once; the others receive the configuration from them.
constexpr std::chrono::milliseconds minFirstReadDelay{200};
constexpr std::chrono::milliseconds firstReadSpread{1800};
// A daemon that has just started knows few members, and would wrongly count itself among the readers.
constexpr std::chrono::seconds settleTime{2};
// Readers send their deputies adverts at least every 600 ms.
constexpr std::chrono::milliseconds maxAgeAtDeputy{1000};
// In a fleet of hundreds, adverts deliver a confirmation to all but one in ten thousand daemons within this time.
constexpr std::chrono::milliseconds maxAge{2500};
// If the confirmations of all other daemons are old too, the store is probably unavailable. Daemons then take turns, so that the
// whole fleet together reads this often.
constexpr double fleetReadsPerSecond = 8.0;
constexpr std::chrono::milliseconds turnLength{200};
// Longest wait of a daemon that receives no adverts.
constexpr std::chrono::milliseconds maxTurnDelayAlone{300};

} // namespace internal

Confirmation::Confirmation(RandomSource &random)
    : m_random{random}
{
}

void Confirmation::note(const SteadyTime at)
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(at), at);
}

void Confirmation::noteHeard(const SteadyTime now)
{
    m_heardAt = now;
}

void Confirmation::hastenFirstRead()
{
    m_isFirstReadHastened = true;
}

std::optional<Duration> Confirmation::age(const SteadyTime now) const
{
    return m_confirmedAt.has_value() ? std::optional{std::max(now - *m_confirmedAt, Duration{})} : std::nullopt;
}

ReadReason Confirmation::reasonToRead(const ReadDuty duty, const std::size_t daemons, const bool isProofStale, const SteadyTime now)
{
    if (!m_startedAt.has_value()) {
        m_startedAt = now;
        m_firstRead = now + internal::minFirstReadDelay + m_random.below(internal::firstReadSpread);
    }
    const std::optional<Duration> confirmedAge = age(now);
    if (!confirmedAge.has_value()) {
        return m_isFirstReadHastened || now >= m_firstRead ? ReadReason::start : ReadReason::none;
    }
    if (duty == ReadDuty::reader && now - *m_startedAt >= internal::settleTime) {
        return ReadReason::reader;
    }
    if (duty != ReadDuty::none && *confirmedAge > internal::maxAgeAtDeputy) {
        return ReadReason::deputy;
    }
    if (*confirmedAge <= internal::maxAge && !isProofStale) {
        m_staleTurn.reset();
        return ReadReason::none;
    }
    return isTurnWhileStale(daemons, now) ? ReadReason::stale : ReadReason::none;
}

bool Confirmation::isTurnWhileStale(const std::size_t daemons, const SteadyTime now)
{
    const bool hearsOthers = m_heardAt.has_value() && now - *m_heardAt <= internal::maxAge;
    const bool isTurnOver = m_staleTurn.has_value() && now >= *m_staleTurn + internal::turnLength;
    // A turn among many was drawn while others were still heard.
    const bool isTurnTooLate = m_staleTurn.has_value() && !hearsOthers && *m_staleTurn - now > internal::maxTurnDelayAlone;
    if (!m_staleTurn.has_value() || isTurnOver || isTurnTooLate) {
        const std::chrono::duration<double> spread{static_cast<double>(daemons) / internal::fleetReadsPerSecond};
        m_staleTurn = now + m_random.below(hearsOthers ? std::chrono::duration_cast<Duration>(spread) : Duration{internal::maxTurnDelayAlone});
    }
    return now >= *m_staleTurn;
}

} // namespace egretlatch::configuration
