#include <egretlatch/retry/shard_grants.hpp>

#include <charconv>

#include <fmt/format.h>

namespace egretlatch::retry
{

namespace internal
{

constexpr std::string_view rowPrefix = "key-shard/";
// A leaving daemon keeps the keys minted within this time, while its last calls arrive.
constexpr std::chrono::seconds releaseDelay{2};

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
    // A row in memory was either read from the table or written to it by a write that is known to have taken effect. Grants
    // that were only requested, or whose write may have failed, aren't in it.
    const std::optional<std::chrono::milliseconds> releasedFrom = m_shards.at(static_cast<std::size_t>(shardOf(key))).releasedFrom;
    const bool isReleased = releasedFrom.has_value() && internal::toMilliseconds(*key.mintedAt()) >= *releasedFrom;
    return ownerOf(key) == m_self && !isReleased;
}

std::vector<store::Request> ShardGrants::tick(const WallTime wall, const SteadyTime now, const IsPreferred &isPreferred)
{
    std::vector<store::Request> requests;
    if (!m_isReading && now >= m_nextReadAt) {
        m_isReading = true;
        requests.emplace_back(store::TableScan{.prefix = std::string{internal::rowPrefix}, .after = {}, .limit = shardCount});
    }
    if (!m_hasRead) {
        return requests;
    }
    for (int number = 0; number < shardCount; ++number) {
        if (std::optional<store::Request> request = nextRequest(number, internal::toMilliseconds(wall), now, isPreferred)) {
            requests.push_back(std::move(*request));
        }
    }
    return requests;
}

std::optional<store::Request>
ShardGrants::nextRequest(const int number, const std::chrono::milliseconds wall, const SteadyTime now, const IsPreferred &isPreferred)
{
    Shard &shard = m_shards.at(static_cast<std::size_t>(number));
    if (shard.isRequestPending || now < shard.nextRequestAt) {
        return std::nullopt;
    }
    if (!shard.write.has_value()) {
        const std::optional<KeyInterval> last = shard.row.last();
        const bool isOwn = last.has_value() && last->owner == m_self;
        if (m_isLeaving) {
            if (!isOwn || shard.releasedFrom.has_value() || last->until <= wall + internal::releaseDelay) {
                return std::nullopt;
            }
            // Released before the table is written: another daemon may be granted the time as soon as the row is written.
            shard.releasedFrom = wall + internal::releaseDelay;
            startWrite(number, shard.row.truncate(*shard.releasedFrom));
        } else {
            const bool isLongEnough = last.has_value() && last->until - wall > m_times.length / 2;
            if (isLongEnough) {
                return std::nullopt;
            }
            if (!isPreferred(number)) {
                shard.nextRequestAt = now + m_times.retryInterval;
                return std::nullopt;
            }
            startWrite(number, shard.row.extend(m_self, wall + m_times.length));
        }
    }
    shard.isRequestPending = true;
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
        m_pending.emplace(id, std::nullopt);
        return;
    }
    const auto *const write = std::get_if<store::TableWrite>(&request);
    const std::string &key = write != nullptr ? write->writes.front().key : std::get<store::TableRead>(request).key;
    m_pending.emplace(id, shardOfRow(key));
}

bool ShardGrants::handleOutcome(const store::RequestId id, const store::Outcome &outcome, const SteadyTime now)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return false;
    }
    const std::optional<int> number = found->second;
    m_pending.erase(found);
    if (number.has_value()) {
        finishWriteStep(m_shards.at(static_cast<std::size_t>(*number)), outcome, now);
        return true;
    }
    m_isReading = false;
    const bool isRead = outcome.has_value() && std::holds_alternative<store::RowsReply>(*outcome);
    if (isRead) {
        applyRows(std::get<store::RowsReply>(*outcome).rows);
        m_hasRead = true;
    }
    const std::chrono::milliseconds wait = isRead ? m_times.readInterval : m_times.retryInterval;
    // Jitter between half and one and a half of the interval, so that daemons that started together don't read together.
    m_nextReadAt = now + wait / 2 + std::chrono::milliseconds{m_random.below(static_cast<std::uint64_t>(wait.count()))};
    return true;
}

void ShardGrants::applyRows(const std::vector<store::Row> &rows)
{
    for (const store::Row &row : rows) {
        const std::optional<int> number = shardOfRow(row.key);
        if (!number.has_value()) {
            continue;
        }
        Shard &shard = m_shards.at(static_cast<std::size_t>(*number));
        // While an own write is in progress, its outcome decides the row; the rows just read may be older.
        if (shard.write.has_value() || row.version == shard.version) {
            continue;
        }
        if (std::optional<ShardRow> read = ShardRow::parse(row.value)) {
            shard.row = std::move(*read);
            shard.version = row.version;
        }
    }
}

void ShardGrants::finishWriteStep(Shard &shard, const store::Outcome &outcome, const SteadyTime now)
{
    shard.isRequestPending = false;
    switch (shard.write->handleOutcome(outcome)) {
    case store::WriteStep::send:
        return;
    case store::WriteStep::sendLater:
        shard.nextRequestAt =
            now + m_times.retryInterval / 2 + std::chrono::milliseconds{m_random.below(static_cast<std::uint64_t>(m_times.retryInterval.count()))};
        return;
    case store::WriteStep::applied:
        shard.row = shard.written;
        break;
    case store::WriteStep::rejected:
        break;
    }
    shard.write.reset();
    // The reply to a write doesn't contain the new version of the row, so all rows are read again before the next write.
    m_nextReadAt = std::min(m_nextReadAt, now);
    shard.nextRequestAt = now + m_times.retryInterval;
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
