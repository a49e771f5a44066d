#include <egretlatch/configuration/currency_proof.hpp>

#include <algorithm>

namespace egretlatch::configuration
{

namespace internal
{

// The store writes whole milliseconds, so its clock may be ahead of a reading by that much.
constexpr std::chrono::milliseconds clockResolution{1};

} // namespace internal

void CurrencyProof::noteClock(const store::ClockReading &reading)
{
    const Duration offset = reading.now.time_since_epoch() + internal::clockResolution - reading.sentAt.time_since_epoch();
    m_offset = std::min(m_offset.value_or(offset), offset);
}

void CurrencyProof::note(const store::StoreTime at)
{
    m_provenAt = std::max(m_provenAt.value_or(at), at);
}

std::optional<Duration> CurrencyProof::age(const BootTime now) const
{
    if (!m_offset.has_value() || !m_provenAt.has_value()) {
        return std::nullopt;
    }
    const Duration latestStoreTime = now.time_since_epoch() + *m_offset;
    return std::max(latestStoreTime - Duration{m_provenAt->time_since_epoch()}, Duration{});
}

} // namespace egretlatch::configuration
