#ifndef EGRETLATCH_RETRY_PREFERRED_SHARDS_HPP
#define EGRETLATCH_RETRY_PREFERRED_SHARDS_HPP

#include <bitset>
#include <cstdint>
#include <optional>

#include <egretlatch/membership/roster.hpp>
#include <egretlatch/retry/shard_row.hpp>

namespace egretlatch::retry
{

/**
 * @brief Computes the shards of the key space that this daemon should own, by rendezvous hashing over the known members.
 *
 * A shard belongs to the serving daemon with the highest hash. Daemons may disagree while their views of the members differ;
 * the conditional write to the table then lets only one of them succeed. The hashes are recomputed only when the roster
 * changes, since there is one for each pair of shard and member.
 */
class PreferredShards
{
public:
    /**
     * @brief Recomputes the shards if the roster has changed.
     * @param roster The known members.
     */
    void update(const membership::Roster &roster);

    /**
     * @brief Checks if this daemon should own a shard.
     * @param shard Number of the shard, in [0, shardCount).
     * @return True if it should, as of the last update.
     */
    [[nodiscard]] bool contains(const int shard) const
    {
        return m_shards.test(static_cast<std::size_t>(shard));
    }

private:
    std::bitset<shardCount> m_shards;
    std::optional<std::uint64_t> m_rosterVersion;
};

} // namespace egretlatch::retry

#endif
