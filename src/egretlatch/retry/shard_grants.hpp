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

/*! @brief How long grants are, and how often the rows are looked at. */
struct GrantTimes
{
    /*! @brief Length of a grant from now on; an outage of the table shorter than half of it goes unnoticed. */
    std::chrono::milliseconds length{std::chrono::minutes{10}};
    /*! @brief Time between two reads of all rows. */
    std::chrono::milliseconds readInterval{std::chrono::seconds{30}};
    /*! @brief Time between two reads while a row is missing, or after a failure. */
    std::chrono::milliseconds retryInterval{std::chrono::seconds{1}};

    friend bool operator==(const GrantTimes &, const GrantTimes &) = default;
};

/**
 * @brief Knows to whom the request keys belong that carry a time but no owner, and takes a share of them.
 *
 * The key's time never changes, intervals of a shard never overlap, and only the owner of the interval runs the key. So
 * no two daemons run it, whatever their clocks say and however late one of them wakes; clocks decide only whether a key
 * finds an owner at all.
 */
class ShardGrants
{
public:
    /*! @brief Tells whether this daemon is the one that should hold a shard. */
    using IsPreferred = std::function<bool(int shard)>;

    /**
     * @brief Builds it without grants.
     * @param self The life of this daemon.
     * @param random Source of jitter and write ids; must outlive it.
     * @param times Lengths and intervals.
     */
    ShardGrants(KeyOwner self, RandomSource &random, GrantTimes times = {});

    /**
     * @brief Finds the owner of a key.
     * @param key A version 7 UUID.
     * @return The owner, or nothing if none is known.
     */
    [[nodiscard]] std::optional<KeyOwner> ownerOf(const Uuid &key) const;

    /**
     * @brief Tells whether this life may run a key.
     * @param key A version 7 UUID.
     * @return True if the key lies in an interval that the table granted to this life.
     */
    [[nodiscard]] bool owns(const Uuid &key) const;

    /**
     * @brief Gives what to ask of the platform now.
     * @param wall Calendar time.
     * @param now Steady time.
     * @param isPreferred Which shards to hold.
     * @return At most one request for each shard, or a read of all.
     */
    [[nodiscard]] std::vector<store::Request> tick(WallTime wall, SteadyTime now, const IsPreferred &isPreferred);

    /**
     * @brief Notes under which id a request of tick() was sent.
     * @param id The id.
     * @param request The request.
     */
    void noteRequestSent(store::RequestId id, const store::Request &request);

    /**
     * @brief Takes an outcome.
     * @param id The id.
     * @param outcome The outcome.
     * @param now Steady time.
     * @return True if the request was one of these.
     */
    bool take(store::RequestId id, const store::Outcome &outcome, SteadyTime now);

    /*! @brief Holds nothing from now on: takes no shards, and ends its grants early. */
    void leave();

private:
    struct Shard
    {
        ShardRow row;
        std::uint64_t version{};
        std::optional<store::IdentifiedWrite> write;
        ShardRow written;
        bool isAsked{};
        SteadyTime askAt;
        /*! @brief Keys from here on are not run any more, whatever the row says. */
        std::optional<std::chrono::milliseconds> cutAt;
    };

    [[nodiscard]] std::optional<store::Request> askFor(int number, std::chrono::milliseconds wall, SteadyTime now, const IsPreferred &isPreferred);
    void startWrite(int number, ShardRow row);
    void takeRows(const std::vector<store::Row> &rows);
    void takeWrite(Shard &shard, const store::Outcome &outcome, SteadyTime now);
    [[nodiscard]] static std::string rowKey(int number);
    [[nodiscard]] static std::optional<int> shardOfRow(const std::string &key);

    KeyOwner m_self;
    RandomSource &m_random;
    GrantTimes m_times;
    std::array<Shard, shardCount> m_shards;
    std::map<store::RequestId, std::optional<int>> m_asked;
    bool m_hasRead{};
    bool m_isReading{};
    bool m_isLeaving{};
    SteadyTime m_readAt;
};

} // namespace egretlatch::retry

#endif
