#include <egretlatch/retry/shard_grants.hpp>

#include <charconv>

#include <fmt/format.h>

namespace egretlatch::retry
{

namespace internal
{

constexpr std::string_view rowPrefix = "key-shard/";
// Keys minted while the last calls of a leaving daemon come in are still its own.
constexpr std::chrono::seconds cutLead{2};

[[nodiscard]] static std::chrono::milliseconds toMilliseconds(const WallTime wall)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(wall.time_since_epoch());
}

} // namespace internal

ShardGrants::ShardGrants(KeyOwner self, RandomSource &random, const GrantTimes times)
    : m_self{std::move(self)}
    , m_random{random}
    , m_times{times}
{
}

std::optional<KeyOwner> ShardGrants::ownerOf(const Uuid &key) const
{
    const std::optional<WallTime> minted = key.mintedAt();
    if (!minted.has_value()) {
        return std::nullopt;
    }
    const std::optional<KeyInterval> interval = m_shards.at(static_cast<std::size_t>(shardOf(key))).row.find(internal::toMilliseconds(*minted));
    return interval.has_value() ? std::optional{interval->owner} : std::nullopt;
}

bool ShardGrants::owns(const Uuid &key) const
{
    // A row in memory was read from the table, or written to it with the write known to have taken effect; what was
    // merely asked for, or may have been written, is not in it.
    const std::optional<std::chrono::milliseconds> cutAt = m_shards.at(static_cast<std::size_t>(shardOf(key))).cutAt;
    const bool isGivenUp = cutAt.has_value() && internal::toMilliseconds(*key.mintedAt()) >= *cutAt;
    return ownerOf(key) == m_self && !isGivenUp;
}

std::vector<store::Request> ShardGrants::tick(const WallTime wall, const SteadyTime now, const IsPreferred &isPreferred)
{
    std::vector<store::Request> requests;
    if (!m_isReading && now >= m_readAt) {
        m_isReading = true;
        requests.emplace_back(store::TableScan{.prefix = std::string{internal::rowPrefix}, .after = {}, .limit = shardCount});
    }
    if (!m_hasRead) {
        return requests;
    }
    for (int number = 0; number < shardCount; ++number) {
        if (std::optional<store::Request> request = askFor(number, internal::toMilliseconds(wall), now, isPreferred)) {
            requests.push_back(std::move(*request));
        }
    }
    return requests;
}

std::optional<store::Request> ShardGrants::askFor(const int number, const std::chrono::milliseconds wall, const SteadyTime now, const IsPreferred &isPreferred)
{
    Shard &shard = m_shards.at(static_cast<std::size_t>(number));
    if (shard.isAsked || now < shard.askAt) {
        return std::nullopt;
    }
    if (!shard.write.has_value()) {
        const std::optional<KeyInterval> last = shard.row.last();
        const bool isHeld = last.has_value() && last->owner == m_self;
        if (m_isLeaving) {
            if (!isHeld || shard.cutAt.has_value() || last->until <= wall + internal::cutLead) {
                return std::nullopt;
            }
            // Given up before the table is told: another daemon may be granted the time as soon as the row is written.
            shard.cutAt = wall + internal::cutLead;
            startWrite(number, shard.row.cut(*shard.cutAt));
        } else {
            const bool isLongEnough = last.has_value() && last->until - wall > m_times.length / 2;
            if (isLongEnough) {
                return std::nullopt;
            }
            if (!isPreferred(number)) {
                shard.askAt = now + m_times.retryInterval;
                return std::nullopt;
            }
            startWrite(number, shard.row.extend(m_self, wall + m_times.length));
        }
    }
    shard.isAsked = true;
    return shard.write->request();
}

void ShardGrants::startWrite(const int number, ShardRow row)
{
    Shard &shard = m_shards.at(static_cast<std::size_t>(number));
    const std::string key = rowKey(number);
    const std::string writer = fmt::format("{} {:x} {:016x}", m_self.daemon.value, m_self.incarnation.value, m_random.next());
    store::TableWrite write;
    write.conditions.push_back({.key = key, .version = shard.version});
    write.writes.push_back({.key = key, .value = row.toText(writer)});
    shard.written = std::move(row);
    shard.write.emplace(std::move(write), key, [writer](const std::string &value) {
        return value.starts_with(writer + "\n");
    });
}

void ShardGrants::noteRequestSent(const store::RequestId id, const store::Request &request)
{
    if (std::holds_alternative<store::TableScan>(request)) {
        m_asked.emplace(id, std::nullopt);
        return;
    }
    const auto *const write = std::get_if<store::TableWrite>(&request);
    const std::string &key = write != nullptr ? write->writes.front().key : std::get<store::TableRead>(request).key;
    m_asked.emplace(id, shardOfRow(key));
}

bool ShardGrants::take(const store::RequestId id, const store::Outcome &outcome, const SteadyTime now)
{
    const auto found = m_asked.find(id);
    if (found == m_asked.end()) {
        return false;
    }
    const std::optional<int> number = found->second;
    m_asked.erase(found);
    if (number.has_value()) {
        takeWrite(m_shards.at(static_cast<std::size_t>(*number)), outcome, now);
        return true;
    }
    m_isReading = false;
    const bool isRead = outcome.has_value() && std::holds_alternative<store::RowsReply>(*outcome);
    if (isRead) {
        takeRows(std::get<store::RowsReply>(*outcome).rows);
        m_hasRead = true;
    }
    const std::chrono::milliseconds wait = isRead ? m_times.readInterval : m_times.retryInterval;
    // Half of the wait is jitter, so that a fleet that started together does not read together.
    m_readAt = now + wait / 2 + std::chrono::milliseconds{m_random.below(static_cast<std::uint64_t>(wait.count()))};
    return true;
}

void ShardGrants::takeRows(const std::vector<store::Row> &rows)
{
    for (const store::Row &row : rows) {
        const std::optional<int> number = shardOfRow(row.key);
        if (!number.has_value()) {
            continue;
        }
        Shard &shard = m_shards.at(static_cast<std::size_t>(*number));
        // While a write of one's own is under way, the row comes from its end; a read may be older than that.
        if (shard.write.has_value() || row.version == shard.version) {
            continue;
        }
        if (std::optional<ShardRow> read = ShardRow::parse(row.value)) {
            shard.row = std::move(*read);
            shard.version = row.version;
        }
    }
}

void ShardGrants::takeWrite(Shard &shard, const store::Outcome &outcome, const SteadyTime now)
{
    shard.isAsked = false;
    switch (shard.write->take(outcome)) {
    case store::WriteStep::ask:
        return;
    case store::WriteStep::askLater:
        shard.askAt = now + m_times.retryInterval / 2 + std::chrono::milliseconds{m_random.below(static_cast<std::uint64_t>(m_times.retryInterval.count()))};
        return;
    case store::WriteStep::applied:
        shard.row = shard.written;
        break;
    case store::WriteStep::rejected:
        break;
    }
    shard.write.reset();
    // The version that the row has now is not told by a write; all rows are read anew before the next one.
    m_readAt = std::min(m_readAt, now);
    shard.askAt = now + m_times.retryInterval;
}

void ShardGrants::leave()
{
    m_isLeaving = true;
}

std::string ShardGrants::rowKey(const int number)
{
    return fmt::format("{}{:02}", internal::rowPrefix, number);
}

std::optional<int> ShardGrants::shardOfRow(const std::string &key)
{
    if (!key.starts_with(internal::rowPrefix)) {
        return std::nullopt;
    }
    int number = 0;
    const char *const end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data() + internal::rowPrefix.size(), end, number);
    const bool isShard = parsed.ec == std::errc{} && parsed.ptr == end && number >= 0 && number < shardCount;
    return isShard ? std::optional{number} : std::nullopt;
}

} // namespace egretlatch::retry
