#include <egretlatch/membership/rumour_store.hpp>

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

namespace egretlatch::membership
{

namespace internal
{

constexpr std::size_t maxRumours = 512;
// Reports on crashes come in series; departures must keep their room beside them.
constexpr std::size_t maxQuarantineRumours = 256;

} // namespace internal

bool RumourStore::add(const Rumour &rumour, const SteadyTime now)
{
    if (rumour.payload.size() > maxRumourBytes || rumour.key.key.size() > maxRumourBytes || rumour.remaining < Duration::zero()) {
        return false;
    }
    const auto found = m_rumours.find(rumour.key);
    if (found != m_rumours.end() && found->second.rumour.version >= rumour.version) {
        return false;
    }
    if (found == m_rumours.end() && !hasRoomFor(rumour.key.kind)) {
        return false;
    }
    std::optional<SteadyTime> expires;
    if (rumour.remaining > Duration::zero()) {
        expires = now + rumour.remaining;
    }
    m_rumours.insert_or_assign(rumour.key, Entry{.rumour = rumour, .expires = expires});
    return true;
}

bool RumourStore::hasRoomFor(const RumourKind kind) const
{
    if (m_rumours.size() >= internal::maxRumours) {
        return false;
    }
    const auto isQuarantine = [](const auto &item) {
        return item.first.kind == RumourKind::quarantine;
    };
    return kind != RumourKind::quarantine
        || static_cast<std::size_t>(std::count_if(m_rumours.begin(), m_rumours.end(), isQuarantine)) < internal::maxQuarantineRumours;
}

std::optional<Rumour> RumourStore::find(const RumourKey &key, const SteadyTime now) const
{
    const auto found = m_rumours.find(key);
    if (found == m_rumours.end() || found->second.expires.value_or(now + Duration{1}) <= now) {
        return std::nullopt;
    }
    return withRemainingTime(found->second, now);
}

std::vector<Rumour> RumourStore::page(const std::size_t page, const std::size_t pageSize, const SteadyTime now) const
{
    std::vector<Rumour> rumours;
    std::size_t index = 0;
    for (const auto &[key, entry] : m_rumours) {
        const bool isInPage = index / pageSize == page;
        const bool holds = entry.expires.value_or(now + Duration{1}) > now;
        if (isInPage && holds) {
            rumours.push_back(withRemainingTime(entry, now));
        }
        ++index;
    }
    return rumours;
}

std::vector<Rumour> RumourStore::departuresOf(const DaemonId &daemon, const SteadyTime now) const
{
    std::vector<Rumour> rumours;
    const RumourKey first{.kind = RumourKind::departure, .key = daemonRumourKey(daemon, {})};
    for (auto item = m_rumours.lower_bound(first); item != m_rumours.end(); ++item) {
        if (item->first.kind != first.kind || !item->first.key.starts_with(first.key)) {
            break;
        }
        if (const std::optional<Rumour> rumour = find(item->first, now)) {
            rumours.push_back(*rumour);
        }
    }
    return rumours;
}

void RumourStore::expire(const SteadyTime now)
{
    std::erase_if(m_rumours, [now](const auto &item) {
        return item.second.expires.has_value() && *item.second.expires <= now;
    });
}

std::uint64_t RumourStore::digest() const
{
    std::uint64_t sum = 0;
    for (const auto &[key, entry] : m_rumours) {
        const std::string text = fmt::format("{}\n{}\n{}", static_cast<int>(key.kind), key.key, entry.rumour.version);
        sum += XXH64(text.data(), text.size(), 1);
    }
    return sum;
}

Rumour RumourStore::withRemainingTime(const Entry &entry, const SteadyTime now)
{
    Rumour rumour = entry.rumour;
    if (entry.expires.has_value()) {
        rumour.remaining = *entry.expires - now;
    }
    return rumour;
}

} // namespace egretlatch::membership
