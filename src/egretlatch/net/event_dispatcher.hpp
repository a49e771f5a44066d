#ifndef EGRETLATCH_NET_EVENT_DISPATCHER_HPP
#define EGRETLATCH_NET_EVENT_DISPATCHER_HPP

#include <atomic>
#include <map>
#include <vector>

#include <QAbstractEventDispatcher>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/net/descriptor_set.hpp>

namespace egretlatch::net
{

/**
 * @brief Qt event dispatcher, based on epoll, for a thread that serves many connections.
 *
 * A wake-up takes one system call. Qt's own dispatcher, with all connections behind one epoll descriptor, takes two and posts
 * an event to itself. Meant for threads with few timers and few socket notifiers, since it has to search them.
 */
class EventDispatcher final : public QAbstractEventDispatcher
{
public:
    EventDispatcher();
    ~EventDispatcher() override;

    /*! @brief Returns the descriptors that are watched without Qt's socket notifiers. */
    [[nodiscard]] DescriptorSet &descriptors() noexcept
    {
        return m_descriptors;
    }

    bool processEvents(QEventLoop::ProcessEventsFlags flags) override;
    void registerSocketNotifier(QSocketNotifier *notifier) override;
    void unregisterSocketNotifier(QSocketNotifier *notifier) override;
    void registerTimer(int timerId, qint64 interval, Qt::TimerType timerType, QObject *object) override;
    bool unregisterTimer(int timerId) override;
    bool unregisterTimers(QObject *object) override;
    [[nodiscard]] QList<TimerInfo> registeredTimers(QObject *object) const override;
    [[nodiscard]] int remainingTime(int timerId) override;
    void wakeUp() override;
    void interrupt() override;

private:
    struct Timer
    {
        int id{};
        std::chrono::milliseconds interval{};
        Qt::TimerType type{};
        QObject *object{};
        SteadyTime due;
    };

    struct Notifiers
    {
        QSocketNotifier *read{};
        QSocketNotifier *write{};
    };

    [[nodiscard]] QSocketNotifier *&slotFor(Notifiers &notifiers, const QSocketNotifier *notifier) const;
    void watch(int descriptor);
    void notify(int descriptor, std::uint32_t events);
    [[nodiscard]] int waitMs() const;
    [[nodiscard]] bool fireTimers();

    SystemClock m_clock;
    DescriptorSet m_descriptors;
    int m_wake;
    std::atomic_bool m_isWoken{};
    std::atomic_bool m_isInterrupted{};
    std::vector<Timer> m_timers;
    std::map<int, Notifiers> m_notifiers;
};

} // namespace egretlatch::net

#endif
