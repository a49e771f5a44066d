#include <egretlatch/retry/preferred_shards.hpp>

#include <algorithm>
#include <vector>

#include <xxhash.h>

namespace egretlatch::retry
{

namespace internal
{

[[nodiscard]] static std::uint64_t weightOf(const DaemonId &daemon, const int shard)
{
    return XXH3_64bits_withSeed(daemon.value.data(), daemon.value.size(), static_cast<std::uint64_t>(shard));
}

[[nodiscard]] static std::vector<DaemonId> otherServingDaemons(const membership::Roster &roster)
{
    std::vector<DaemonId> others;
    for (const membership::Member &member : roster.members()) {
        if (member.state == membership::MemberState::serving && member.id != roster.self().id) {
            others.push_back(member.id);
        }
    }
    return others;
}

} // namespace internal

void PreferredShards::update(const membership::Roster &roster)
{
    if (m_rosterVersion == roster.version()) {
        return;
    }
    m_rosterVersion = roster.version();
    m_shards.reset();
    if (roster.self().state != membership::MemberState::serving) {
        return;
    }
    const std::vector<DaemonId> others = internal::otherServingDaemons(roster);
    for (int shard = 0; shard < shardCount; ++shard) {
        const std::uint64_t own = internal::weightOf(roster.self().id, shard);
        const bool isHighest = std::none_of(others.begin(), others.end(), [shard, own](const DaemonId &other) {
            return internal::weightOf(other, shard) > own;
        });
        m_shards.set(static_cast<std::size_t>(shard), isHighest);
    }
}

} // namespace egretlatch::retry
