#ifndef EGRETLATCH_ACCOUNT_DROPPED_TALLY_HPP
#define EGRETLATCH_ACCOUNT_DROPPED_TALLY_HPP

#include <algorithm>
#include <mutex>
#include <optional>

#include <egretlatch/account/refusal_record.hpp>

namespace egretlatch::account
{

/*! @brief Counts refusals that were dropped before they reached the account, for example because a ring was full. Thread-safe. */
class DroppedTally
{
public:
    /**
     * @brief Counts one refusal.
     * @param time Time at which the refusal was made.
     */
    void add(const WallTime time)
    {
        const std::lock_guard lock{m_mutex};
        if (m_dropped.count == 0) {
            m_dropped.first = time;
        }
        ++m_dropped.count;
        m_dropped.last = time;
    }

    /**
     * @brief Adds refusals that were counted elsewhere.
     * @param dropped Count and its time span.
     */
    void add(const DroppedRefusals &dropped)
    {
        const std::lock_guard lock{m_mutex};
        m_dropped.first = m_dropped.count == 0 ? dropped.first : std::min(m_dropped.first, dropped.first);
        m_dropped.last = std::max(m_dropped.last, dropped.last);
        m_dropped.count += dropped.count;
    }

    /**
     * @brief Returns the count and resets it.
     * @return Count and its time span, or nothing if no refusal was counted.
     */
    [[nodiscard]] std::optional<DroppedRefusals> take()
    {
        const std::lock_guard lock{m_mutex};
        if (m_dropped.count == 0) {
            return std::nullopt;
        }
        const DroppedRefusals dropped = m_dropped;
        m_dropped = {};
        return dropped;
    }

private:
    std::mutex m_mutex;
    DroppedRefusals m_dropped;
};

} // namespace egretlatch::account

#endif
