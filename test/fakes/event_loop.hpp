#ifndef TEST_FAKES_EVENT_LOOP_HPP
#define TEST_FAKES_EVENT_LOOP_HPP

#include <functional>

#include <QCoreApplication>
#include <QDeadlineTimer>

namespace fakes
{

/*! @brief Creates the application object on the first call; objects that watch sockets through Qt need it before their construction. */
inline void ensureApplication()
{
    static int argc = 1;
    static char name[] = "test";
    static char *argv[] = {name, nullptr};
    static QCoreApplication application{argc, argv};
}

/**
 * @brief Processes Qt events on the calling thread until a condition holds.
 * @param condition Condition to wait for.
 * @return False if the condition did not hold within ten seconds, which only happens in case of a fault.
 */
[[nodiscard]] inline bool runUntil(const std::function<bool()> &condition)
{
    ensureApplication();
    const QDeadlineTimer deadline{std::chrono::seconds{10}};
    while (!condition()) {
        if (deadline.hasExpired()) {
            return false;
        }
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    }
    return true;
}

} // namespace fakes

#endif
