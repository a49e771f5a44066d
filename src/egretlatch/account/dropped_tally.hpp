#ifndef EGRETLATCH_ACCOUNT_DROPPED_TALLY_HPP
#define EGRETLATCH_ACCOUNT_DROPPED_TALLY_HPP

#include <algorithm>
#include <mutex>
#include <optional>

#include <egretlatch/account/refusal_record.hpp>

namespace egretlatch::account
{

/*! @brief Counts refusals that never reached the account, such as when a ring was full; safe to use from any thread. */
class DroppedTally
{
public:
    /**
     * @brief Counts one.
     * @param time When it was made.
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
     * @brief Counts those that were counted elsewhere.
     * @param dropped The count with its span.
     */
    void add(const DroppedRefusals &dropped)
    {
        const std::lock_guard lock{m_mutex};
        m_dropped.first = m_dropped.count == 0 ? dropped.first : std::min(m_dropped.first, dropped.first);
        m_dropped.last = std::max(m_dropped.last, dropped.last);
        m_dropped.count += dropped.count;
    }

    /**
     * @brief Gives what was counted and starts anew.
     * @return The count with its span, or nothing.
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
