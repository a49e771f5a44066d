#include <egretlatch/net/poller.hpp>

#include <array>

#include <sys/epoll.h>
#include <unistd.h>

namespace egretlatch::net
{

namespace internal
{

// Taken from the kernel in one call; what is left comes with the next turn of the event loop.
constexpr int eventBatch = 64;

[[nodiscard]] static epoll_event eventOf(const int descriptor, const Poller::Interest interest)
{
    epoll_event event{};
    event.events = EPOLLRDHUP;
    if (interest.read) {
        event.events |= EPOLLIN;
    }
    if (interest.write) {
        event.events |= EPOLLOUT;
    }
    event.data.fd = descriptor;
    return event;
}

} // namespace internal

Poller::Poller()
    : m_epoll{epoll_create1(EPOLL_CLOEXEC)}
    , m_notifier{m_epoll, QSocketNotifier::Read}
{
    QObject::connect(&m_notifier, &QSocketNotifier::activated, &m_notifier, [this] {
        dispatch();
    });
}

Poller::~Poller()
{
    m_notifier.setEnabled(false);
    ::close(m_epoll);
}

void Poller::add(const int descriptor, const Interest interest, Handler handler)
{
    m_watched.insert_or_assign(descriptor, Watched{.number = ++m_lastNumber, .handler = std::move(handler)});
    epoll_event event = internal::eventOf(descriptor, interest);
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event);
}

void Poller::change(const int descriptor, const Interest interest)
{
    epoll_event event = internal::eventOf(descriptor, interest);
    epoll_ctl(m_epoll, EPOLL_CTL_MOD, descriptor, &event);
}

void Poller::remove(const int descriptor)
{
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
    m_watched.erase(descriptor);
}

void Poller::dispatch()
{
    std::array<epoll_event, internal::eventBatch> events{};
    const int count = epoll_wait(m_epoll, events.data(), internal::eventBatch, 0);
    const std::uint64_t newest = m_lastNumber;
    for (int index = 0; index < count; ++index) {
        const epoll_event &event = events.at(static_cast<std::size_t>(index));
        const auto found = m_watched.find(event.data.fd);
        // A handler earlier in the batch may have closed a descriptor and opened another one under the same number.
        if (found == m_watched.end() || found->second.number > newest) {
            continue;
        }
        const Handler handler = found->second.handler;
        handler(event.events);
    }
}

} // namespace egretlatch::net
