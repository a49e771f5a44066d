#include <egretlatch/net/read_budget.hpp>

#include <utility>

namespace egretlatch::net
{

namespace internal
{

// A message up to this size is never held up by long ones. All connections to a server together hold some dozen MiB at most so.
constexpr qsizetype shortMessageBytes = qsizetype{128} * 1024;

} // namespace internal

void ReadBudget::setLimits(ReadBudgetLimits limits)
{
    m_limits = std::move(limits);
}

void ReadBudget::noteReceived(BudgetedReader &reader)
{
    if (!m_limits.has_value() || reader.receivedBytes() <= internal::shortMessageBytes) {
        return;
    }
    m_readers.insert(&reader);
    if (mustPause(reader)) {
        reader.setPaused(true);
        m_hasPaused = true;
        m_limits->onPaused(reader.receivedBytes());
    }
}

void ReadBudget::noteEnded(BudgetedReader &reader)
{
    if (m_readers.erase(&reader) == 0) {
        return;
    }
    if (m_preferred == &reader) {
        m_preferred = nullptr;
    }
    resume();
}

void ReadBudget::resume()
{
    if (!m_hasPaused) {
        return;
    }
    if (m_preferred == nullptr) {
        m_preferred = findLongestPaused();
    }
    if (m_preferred != nullptr && m_preferred->isPaused() && mayReadPreferred()) {
        m_preferred->setPaused(false);
    }
    m_hasPaused = false;
    for (BudgetedReader *const reader : m_readers) {
        if (reader != m_preferred && reader->isPaused() && !isOverLimit()) {
            reader->setPaused(false);
        }
        m_hasPaused = m_hasPaused || reader->isPaused();
    }
}

bool ReadBudget::isOverLimit() const
{
    qsizetype held = m_limits->complete();
    for (const BudgetedReader *const reader : m_readers) {
        held += reader == m_preferred ? 0 : reader->receivedBytes();
    }
    return held > m_limits->bytes;
}

bool ReadBudget::mayReadPreferred() const
{
    return m_limits->complete() <= m_limits->completeBytes;
}

bool ReadBudget::mustPause(BudgetedReader &reader)
{
    if (m_preferred == nullptr && isOverLimit()) {
        m_preferred = &reader;
    }
    return &reader == m_preferred ? !mayReadPreferred() : isOverLimit();
}

BudgetedReader *ReadBudget::findLongestPaused() const
{
    // The one that has received most ends soonest, and then leaves most room.
    BudgetedReader *longest = nullptr;
    for (BudgetedReader *const reader : m_readers) {
        const bool isLonger = longest == nullptr || reader->receivedBytes() > longest->receivedBytes();
        longest = reader->isPaused() && isLonger ? reader : longest;
    }
    return longest;
}

} // namespace egretlatch::net
