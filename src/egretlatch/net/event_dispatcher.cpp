#include <egretlatch/net/event_dispatcher.hpp>

#include <algorithm>

#include <QCoreApplication>
#include <QSocketNotifier>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace egretlatch::net
{

EventDispatcher::EventDispatcher()
    : m_wake{eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)}
{
    m_descriptors.add(m_wake, {.read = true, .write = false}, [this](std::uint32_t /*events*/) {
        eventfd_t count{};
        eventfd_read(m_wake, &count);
        m_isWoken = false;
    });
}

EventDispatcher::~EventDispatcher()
{
    m_descriptors.remove(m_wake);
    ::close(m_wake);
}

bool EventDispatcher::processEvents(const QEventLoop::ProcessEventsFlags flags)
{
    m_isInterrupted = false;
    Q_EMIT awake();
    QCoreApplication::sendPostedEvents();
    if (m_isInterrupted) {
        return true;
    }
    const bool mayWait = flags.testFlag(QEventLoop::WaitForMoreEvents);
    if (mayWait) {
        Q_EMIT aboutToBlock();
    }
    // An event that another thread posts in the meantime wakes the loop, so it is not missed.
    const bool hasDispatched = m_descriptors.dispatch(mayWait ? waitMs() : 0);
    const bool hasFired = fireTimers();
    return hasDispatched || hasFired;
}

void EventDispatcher::registerSocketNotifier(QSocketNotifier *const notifier)
{
    const int descriptor = static_cast<int>(notifier->socket());
    const auto [entry, isNew] = m_notifiers.try_emplace(descriptor);
    slotFor(entry->second, notifier) = notifier;
    if (isNew) {
        m_descriptors.add(descriptor, {}, [this, descriptor](const std::uint32_t events) {
            notify(descriptor, events);
        });
    }
    watch(descriptor);
}

void EventDispatcher::unregisterSocketNotifier(QSocketNotifier *const notifier)
{
    const int descriptor = static_cast<int>(notifier->socket());
    const auto entry = m_notifiers.find(descriptor);
    if (entry == m_notifiers.end()) {
        return;
    }
    slotFor(entry->second, notifier) = nullptr;
    if (entry->second.read == nullptr && entry->second.write == nullptr) {
        m_notifiers.erase(entry);
        m_descriptors.remove(descriptor);
        return;
    }
    watch(descriptor);
}

QSocketNotifier *&EventDispatcher::slotFor(Notifiers &notifiers, const QSocketNotifier *const notifier) const
{
    return notifier->type() == QSocketNotifier::Write ? notifiers.write : notifiers.read;
}

void EventDispatcher::watch(const int descriptor)
{
    const Notifiers &notifiers = m_notifiers.at(descriptor);
    m_descriptors.change(descriptor, {.read = notifiers.read != nullptr, .write = notifiers.write != nullptr});
}

void EventDispatcher::notify(const int descriptor, const std::uint32_t events)
{
    constexpr std::uint32_t closeEvents = EPOLLHUP | EPOLLERR | EPOLLRDHUP;
    QEvent event{QEvent::SockAct};
    const auto activate = [this, descriptor, &event](QSocketNotifier *Notifiers::*const slot) {
        // The handler of the read notifier may have removed the write notifier.
        const auto entry = m_notifiers.find(descriptor);
        if (entry != m_notifiers.end() && entry->second.*slot != nullptr) {
            QCoreApplication::sendEvent(entry->second.*slot, &event);
        }
    };
    if ((events & (EPOLLIN | closeEvents)) != 0U) {
        activate(&Notifiers::read);
    }
    if ((events & (EPOLLOUT | closeEvents)) != 0U) {
        activate(&Notifiers::write);
    }
}

void EventDispatcher::registerTimer(const int timerId, const qint64 interval, const Qt::TimerType timerType, QObject *const object)
{
    const std::chrono::milliseconds wait{interval};
    m_timers.push_back({.id = timerId, .interval = wait, .type = timerType, .object = object, .due = m_clock.steadyNow() + wait});
}

bool EventDispatcher::unregisterTimer(const int timerId)
{
    return std::erase_if(m_timers,
                         [timerId](const Timer &timer) {
                             return timer.id == timerId;
                         })
        > 0;
}

bool EventDispatcher::unregisterTimers(QObject *const object)
{
    return std::erase_if(m_timers,
                         [object](const Timer &timer) {
                             return timer.object == object;
                         })
        > 0;
}

QList<QAbstractEventDispatcher::TimerInfo> EventDispatcher::registeredTimers(QObject *const object) const
{
    QList<TimerInfo> found;
    for (const Timer &timer : m_timers) {
        if (timer.object == object) {
            found.append(TimerInfo{timer.id, static_cast<int>(timer.interval.count()), timer.type});
        }
    }
    return found;
}

int EventDispatcher::remainingTime(const int timerId)
{
    const auto found = std::find_if(m_timers.begin(), m_timers.end(), [timerId](const Timer &timer) {
        return timer.id == timerId;
    });
    if (found == m_timers.end()) {
        return -1;
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(found->due - m_clock.steadyNow());
    return static_cast<int>(std::max<std::chrono::milliseconds::rep>(left.count(), 0));
}

int EventDispatcher::waitMs() const
{
    if (m_timers.empty()) {
        return -1;
    }
    const auto next = std::min_element(m_timers.begin(), m_timers.end(), [](const Timer &left, const Timer &right) {
        return left.due < right.due;
    });
    // Rounded up; otherwise the loop would wake shortly before the timer is due, with nothing to do.
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(next->due - m_clock.steadyNow());
    return static_cast<int>(std::max<std::chrono::milliseconds::rep>(wait.count(), 0));
}

bool EventDispatcher::fireTimers()
{
    const SteadyTime now = m_clock.steadyNow();
    std::vector<int> due;
    for (Timer &timer : m_timers) {
        if (timer.due <= now) {
            timer.due = now + timer.interval;
            due.push_back(timer.id);
        }
    }
    for (const int id : due) {
        // An earlier timer may have stopped this one.
        const auto found = std::find_if(m_timers.begin(), m_timers.end(), [id](const Timer &timer) {
            return timer.id == id;
        });
        if (found != m_timers.end()) {
            QTimerEvent event{id};
            QCoreApplication::sendEvent(found->object, &event);
        }
    }
    return !due.empty();
}

void EventDispatcher::wakeUp()
{
    if (!m_isWoken.exchange(true)) {
        eventfd_write(m_wake, 1);
    }
}

void EventDispatcher::interrupt()
{
    m_isInterrupted = true;
    wakeUp();
}

} // namespace egretlatch::net
