#ifndef EGRETLATCH_DAEMON_EVENT_LOOP_WAKER_HPP
#define EGRETLATCH_DAEMON_EVENT_LOOP_WAKER_HPP

#include <atomic>
#include <functional>

#include <QObject>

#include <egretlatch/core/waker.hpp>

namespace egretlatch::daemon
{

/*! @brief Wakes a thread that runs a Qt event loop. Wakes that are pending at the same time are merged into one. */
class EventLoopWaker final : public QObject, public Waker
{
public:
    /**
     * @brief Creates a waker. It must then be moved to the thread it wakes.
     * @param drain Called on that thread after a wake; must read the rings until they are empty.
     */
    explicit EventLoopWaker(std::function<void()> drain)
        : m_drain{std::move(drain)}
    {
    }

    void wake() override
    {
        if (m_isPending.exchange(true)) {
            return;
        }
        QMetaObject::invokeMethod(
            this,
            [this] {
                m_isPending.store(false);
                m_drain();
            },
            Qt::QueuedConnection);
    }

private:
    std::function<void()> m_drain;
    std::atomic<bool> m_isPending{false};
};

} // namespace egretlatch::daemon

#endif
