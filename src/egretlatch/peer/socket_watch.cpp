#include <egretlatch/peer/socket_watch.hpp>

#include <algorithm>
#include <array>

#include <sys/epoll.h>
#include <unistd.h>

namespace egretlatch::peer
{

namespace internal
{

// Limits the events read by one epoll_wait call; the descriptor stays readable while more are left.
constexpr int eventBatch = 64;

} // namespace internal

SocketWatch::SocketWatch()
    : m_epoll{epoll_create1(EPOLL_CLOEXEC)}
{
}

SocketWatch::~SocketWatch()
{
    ::close(m_epoll);
}

void SocketWatch::add(zmq::socket_t &socket, SocketSource &source)
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.ptr = &source;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket.get(zmq::sockopt::fd), &event);
}

void SocketWatch::remove(zmq::socket_t &socket)
{
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket.get(zmq::sockopt::fd), nullptr);
}

std::vector<SocketSource *> SocketWatch::ready()
{
    std::array<epoll_event, internal::eventBatch> events{};
    const int count = epoll_wait(m_epoll, events.data(), internal::eventBatch, 0);
    std::vector<SocketSource *> sources;
    sources.reserve(static_cast<std::size_t>(std::max(count, 0)));
    for (int index = 0; index < count; ++index) {
        sources.push_back(static_cast<SocketSource *>(events.at(static_cast<std::size_t>(index)).data.ptr));
    }
    return sources;
}

} // namespace egretlatch::peer
