#include <doctest/doctest.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QSocketNotifier>
#include <QThread>
#include <QTimer>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fakes/event_loop.hpp>

#include <egretlatch/net/event_dispatcher.hpp>
#include <egretlatch/net/poller.hpp>

using namespace egretlatch;

namespace
{

/*! @brief Thread that runs on an EventDispatcher. */
class DispatchedThread
{
public:
    DispatchedThread()
    {
        fakes::ensureApplication();
        m_thread.setEventDispatcher(new net::EventDispatcher);
    }

    /*! @brief Runs the function on the thread, which then processes events until quit() is called. */
    void run(std::function<void()> body)
    {
        QObject::connect(
            &m_thread,
            &QThread::started,
            &m_context,
            [body = std::move(body)] {
                body();
            },
            Qt::DirectConnection);
        m_thread.start();
        REQUIRE(m_thread.wait(10'000));
    }

    void quit()
    {
        m_thread.quit();
    }

private:
    QObject m_context;
    QThread m_thread;
};

} // namespace

TEST_CASE("timers fire in the order of their due times, and a stopped timer never fires")
{
    DispatchedThread thread;
    std::vector<int> fired;
    thread.run([&] {
        auto *const stopped = new QTimer;
        QObject::connect(stopped, &QTimer::timeout, stopped, [&] {
            fired.push_back(0);
        });
        stopped->start(20);
        QTimer::singleShot(40, stopped, [&] {
            fired.push_back(2);
        });
        QTimer::singleShot(10, stopped, [&fired, stopped] {
            fired.push_back(1);
            stopped->stop();
        });
        QTimer::singleShot(80, stopped, [&, stopped] {
            fired.push_back(3);
            delete stopped;
            thread.quit();
        });
    });
    CHECK(fired == std::vector<int>{1, 2, 3});
}

TEST_CASE("a repeating timer fires until it is stopped")
{
    DispatchedThread thread;
    int count = 0;
    thread.run([&] {
        auto *const timer = new QTimer;
        QObject::connect(timer, &QTimer::timeout, timer, [&, timer] {
            if (++count == 5) {
                delete timer;
                thread.quit();
            }
        });
        timer->start(1);
    });
    CHECK(count == 5);
}

TEST_CASE("socket notifiers and watched descriptors are activated by incoming bytes, and removed ones are not")
{
    DispatchedThread thread;
    int pair[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair) == 0);
    int other[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, other) == 0);
    std::vector<std::string> handled;
    thread.run([&] {
        auto *const poller = new net::Poller;
        auto *const notifier = new QSocketNotifier{other[0], QSocketNotifier::Read};
        poller->add(pair[0], {.read = true, .write = false}, [&, poller, notifier](const std::uint32_t events) {
            CHECK((events & EPOLLIN) != 0U);
            handled.emplace_back("watched");
            poller->remove(pair[0]);
            QObject::connect(notifier, &QSocketNotifier::activated, notifier, [&, poller, notifier] {
                handled.emplace_back("notified");
                delete notifier;
                delete poller;
                thread.quit();
            });
            REQUIRE(::write(other[1], "b", 1) == 1);
        });
        REQUIRE(::write(pair[1], "a", 1) == 1);
    });
    CHECK(handled == std::vector<std::string>{"watched", "notified"});
    for (const int descriptor : {pair[0], pair[1], other[0], other[1]}) {
        ::close(descriptor);
    }
}

TEST_CASE("an event posted by another thread wakes a loop without timers and descriptors")
{
    DispatchedThread thread;
    bool hasArrived = false;
    QThread *poster = nullptr;
    thread.run([&] {
        auto *const receiver = new QObject;
        poster = QThread::create([&, receiver] {
            QThread::msleep(20);
            QMetaObject::invokeMethod(receiver, [&, receiver] {
                hasArrived = true;
                delete receiver;
                thread.quit();
            });
        });
        poster->start();
    });
    CHECK(hasArrived);
    CHECK(poster->wait(10'000));
    delete poster;
}
