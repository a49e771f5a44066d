#include <egretlatch/account/refusal_ledger.hpp>

#include <algorithm>
#include <iterator>

namespace egretlatch::account
{

namespace internal
{

[[nodiscard]] static WallTime minuteOf(const WallTime time)
{
    return std::chrono::floor<std::chrono::minutes>(time);
}

// Taken from the id and not from the record's time, because a lookup knows only the id.
[[nodiscard]] static WallTime minuteOf(const RefusalRecord &record)
{
    return minuteOf(record.refusal.id.mintedAt().value_or(record.time));
}

} // namespace internal

RefusalLedger::RefusalLedger(DaemonId daemon, const Incarnation incarnation, const RefusalLedgerLimits limits)
    : m_daemon{std::move(daemon)}
    , m_incarnation{incarnation}
    , m_limits{limits}
{
}

void RefusalLedger::add(RefusalRecord record)
{
    addToRecent(record);
    if (m_pending >= m_limits.maxPending) {
        // Without a limit, memory would grow during a long outage of the store. The account records what was dropped instead.
        m_overflow.add(record.time);
        return;
    }
    ++m_pending;
    const WallTime minute = internal::minuteOf(record);
    m_minutes[minute].refusals.push_back(std::move(record));
}

void RefusalLedger::addDropped(const DroppedRefusals &dropped)
{
    m_overflow.add(dropped);
}

std::optional<AccountBatch> RefusalLedger::nextBatch()
{
    if (m_batch.has_value()) {
        return m_batch;
    }
    recordOverflow();
    if (m_closedAt.has_value()) {
        static_cast<void>(m_minutes[internal::minuteOf(*m_closedAt)]);
    }
    if (m_minutes.empty()) {
        return std::nullopt;
    }
    Minute &minute = m_minutes.begin()->second;
    AccountBatch batch;
    batch.daemon = m_daemon;
    batch.incarnation = m_incarnation;
    batch.sequence = ++m_sequence;
    batch.minute = m_minutes.begin()->first;
    const std::size_t count = std::min(m_limits.maxBatch, minute.refusals.size());
    const auto end = std::next(minute.refusals.begin(), static_cast<std::ptrdiff_t>(count));
    batch.refusals.assign(std::make_move_iterator(minute.refusals.begin()), std::make_move_iterator(end));
    minute.refusals.erase(minute.refusals.begin(), end);
    batch.dropped = std::move(minute.dropped);
    minute.dropped.clear();
    if (minute.refusals.empty()) {
        m_minutes.erase(m_minutes.begin());
    }
    batch.isLast = m_closedAt.has_value() && m_minutes.empty();
    if (batch.isLast) {
        m_closedAt.reset();
    }
    m_batch = std::move(batch);
    return m_batch;
}

void RefusalLedger::acknowledge()
{
    if (m_batch.has_value()) {
        m_pending -= m_batch->refusals.size();
        m_batch.reset();
    }
}

void RefusalLedger::close(const WallTime now)
{
    m_closedAt = now;
}

std::optional<RefusalRecord> RefusalLedger::find(const Uuid &id) const
{
    const auto found = m_recent.find(id);
    return found == m_recent.end() ? std::nullopt : std::optional{found->second};
}

void RefusalLedger::addToRecent(const RefusalRecord &record)
{
    if (!m_recent.try_emplace(record.refusal.id, record).second) {
        return;
    }
    m_recentOrder.push_back(record.refusal.id);
    if (m_recentOrder.size() > m_limits.maxRecent) {
        m_recent.erase(m_recentOrder.front());
        m_recentOrder.pop_front();
    }
}

void RefusalLedger::recordOverflow()
{
    if (const std::optional<DroppedRefusals> dropped = m_overflow.take()) {
        m_minutes[internal::minuteOf(dropped->last)].dropped.push_back(*dropped);
    }
}

} // namespace egretlatch::account
