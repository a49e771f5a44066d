#ifndef EGRETLATCH_RETRY_SHARD_GRANTS_HPP
#define EGRETLATCH_RETRY_SHARD_GRANTS_HPP

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <egretlatch/core/random_source.hpp>
#include <egretlatch/retry/shard_row.hpp>
#include <egretlatch/store/identified_write.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::retry
{

/*! @brief Length of grants and intervals of reads. */
struct GrantTimes
{
    /*! @brief Length of a new grant; table outages shorter than half of it have no effect. */
    std::chrono::milliseconds length{std::chrono::minutes{10}};
    /*! @brief Time between two reads of all rows. */
    std::chrono::milliseconds readInterval{std::chrono::seconds{30}};
    /*! @brief Time between two reads after a failure, and before a shard is checked or written again. */
    std::chrono::milliseconds retryInterval{std::chrono::seconds{1}};

    friend bool operator==(const GrantTimes &, const GrantTimes &) = default;
};

/**
 * @brief Finds the owners of request keys that contain a time but no owner, and acquires grants for a share of them.
 *
 * The time of a key never changes, the intervals of a shard never overlap, and only the owner of an interval runs its keys.
 * So no two daemons run the same key, however wrong their clocks are and however long one of them was suspended. Clocks only
 * affect whether a key has an owner at all.
 */
class ShardGrants
{
public:
    /*! @brief Returns true if this daemon should own the shard. */
    using IsPreferred = std::function<bool(int shard)>;

    /**
     * @brief Creates an instance without grants.
     * @param self This daemon and its incarnation.
     * @param random Source of jitter and write ids; must outlive the instance.
     * @param times Length of grants and intervals of reads.
     */
    ShardGrants(KeyOwner self, RandomSource &random, GrantTimes times = {});

    /**
     * @brief Finds the owner of a key.
     * @param key A version 7 UUID.
     * @return The owner, or nothing if no owner is known.
     */
    [[nodiscard]] std::optional<KeyOwner> ownerOf(const Uuid &key) const;

    /**
     * @brief Checks if this incarnation may run a key.
     * @param key A version 7 UUID.
     * @return True if the key lies in an interval that was granted to this incarnation and isn't released.
     */
    [[nodiscard]] bool owns(const Uuid &key) const;

    /**
     * @brief Returns the requests to send to the platform's table now.
     * @param wall Calendar time.
     * @param now Steady time.
     * @param isPreferred Selects the shards that this daemon should own.
     * @return At most one request for each shard, and at most one scan of all rows.
     */
    [[nodiscard]] std::vector<store::Request> tick(WallTime wall, SteadyTime now, const IsPreferred &isPreferred);

    /**
     * @brief Records the id under which a request of tick() was sent.
     * @param id The id.
     * @param request The request.
     */
    void noteRequestSent(store::RequestId id, const store::Request &request);

    /**
     * @brief Processes the outcome of a request.
     * @param id Id of the request.
     * @param outcome The outcome.
     * @param now Steady time.
     * @return True if the request was sent by this instance.
     */
    bool handleOutcome(store::RequestId id, const store::Outcome &outcome, SteadyTime now);

    /*! @brief Starts leaving: acquires no more shards and ends own grants early. */
    void leave();

private:
    struct Shard
    {
        ShardRow row;
        std::uint64_t version{};
        std::optional<store::IdentifiedWrite> write;
        ShardRow written;
        bool isRequestPending{};
        SteadyTime nextRequestAt;
        /*! @brief Time from which on keys aren't run any more, whatever the row says. */
        std::optional<std::chrono::milliseconds> releasedFrom;
    };

    [[nodiscard]] std::optional<store::Request> nextRequest(int number, std::chrono::milliseconds wall, SteadyTime now, const IsPreferred &isPreferred);
    void startWrite(int number, ShardRow row);
    void applyRows(const std::vector<store::Row> &rows);
    void finishWriteStep(Shard &shard, const store::Outcome &outcome, SteadyTime now);
    [[nodiscard]] static std::string rowKey(int number);
    [[nodiscard]] static std::optional<int> shardOfRow(const std::string &key);

    KeyOwner m_self;
    RandomSource &m_random;
    GrantTimes m_times;
    std::array<Shard, shardCount> m_shards;
    std::map<store::RequestId, std::optional<int>> m_pending;
    bool m_hasRead{};
    bool m_isReading{};
    bool m_isLeaving{};
    SteadyTime m_nextReadAt;
};

} // namespace egretlatch::retry

#endif
