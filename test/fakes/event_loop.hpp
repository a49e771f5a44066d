#ifndef TEST_FAKES_EVENT_LOOP_HPP
#define TEST_FAKES_EVENT_LOOP_HPP

#include <functional>

#include <QCoreApplication>
#include <QDeadlineTimer>

namespace fakes
{

/*! @brief Makes sure that there is an application, which anything that watches sockets by Qt needs before it is built. */
inline void ensureApplication()
{
    static int argc = 1;
    static char name[] = "test";
    static char *argv[] = {name, nullptr};
    static QCoreApplication application{argc, argv};
}

/**
 * @brief Runs Qt's events on the test's thread until something holds.
 * @param condition What is waited for.
 * @return False if it did not come to hold within ten seconds, which only a fault takes.
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
