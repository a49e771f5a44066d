#include <egretlatch/membership/ping_relays.hpp>

namespace egretlatch::membership
{

namespace internal
{

constexpr std::chrono::seconds relayTimeout{1};

} // namespace internal

void PingRelays::add(const std::uint64_t sequence, const PingRelay &relay, const SteadyTime now)
{
    m_relays.insert_or_assign(sequence, Entry{.relay = relay, .expires = now + internal::relayTimeout});
}

std::optional<PingRelay> PingRelays::take(const std::uint64_t sequence)
{
    const auto found = m_relays.find(sequence);
    if (found == m_relays.end()) {
        return std::nullopt;
    }
    const PingRelay relay = found->second.relay;
    m_relays.erase(found);
    return relay;
}

void PingRelays::expire(const SteadyTime now)
{
    std::erase_if(m_relays, [now](const auto &item) {
        return item.second.expires <= now;
    });
}

} // namespace egretlatch::membership
