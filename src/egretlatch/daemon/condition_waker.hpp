#ifndef EGRETLATCH_DAEMON_CONDITION_WAKER_HPP
#define EGRETLATCH_DAEMON_CONDITION_WAKER_HPP

#include <condition_variable>
#include <mutex>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/waker.hpp>

namespace egretlatch::daemon
{

/*! @brief Wakes a thread that waits only for its rings and a point in time. */
class ConditionWaker final : public Waker
{
public:
    void wake() override
    {
        {
            const std::lock_guard lock{m_mutex};
            m_isWoken = true;
        }
        m_condition.notify_one();
    }

    /**
     * @brief Waits until wake() is called. Returns at once if it was called since the last wait.
     * @param until Time at which the wait ends even without a wake.
     */
    void waitUntil(const SteadyTime until)
    {
        std::unique_lock lock{m_mutex};
        m_condition.wait_until(lock, until, [this] {
            return m_isWoken;
        });
        m_isWoken = false;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_isWoken{};
};

} // namespace egretlatch::daemon

#endif
