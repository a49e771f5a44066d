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
 * @brief Shards of the key space that this daemon should hold, by the members that it knows.
 *
 * A shard goes to the highest hash among the daemons at work. Views may differ; the table then lets one of them write.
 * The hashes are computed anew only when the roster has changed, since there are shards times members of them.
 */
class PreferredShards
{
public:
    /**
     * @brief Looks at the members.
     * @param roster The members that are known now.
     */
    void update(const membership::Roster &roster);

    /**
     * @brief Tells whether this daemon should hold a shard.
     * @param shard A number in [0, shardCount).
     * @return True as of the last update.
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
