#ifndef EGRETLATCH_DAEMON_CONDITION_WAKER_HPP
#define EGRETLATCH_DAEMON_CONDITION_WAKER_HPP

#include <condition_variable>
#include <mutex>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/waker.hpp>

namespace egretlatch::daemon
{

/*! @brief Wakes a thread that has nothing to wait for but its rings and a time. */
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
     * @brief Waits for a wake since the last wait.
     * @param until Time at which it returns in any case.
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
