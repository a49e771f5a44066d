#include <egretlatch/net/descriptor_set.hpp>

#include <array>
#include <exception>

#include <sys/epoll.h>
#include <unistd.h>

namespace egretlatch::net
{

namespace internal
{

// Events fetched from the kernel per call; the rest are returned in the next iteration of the event loop.
constexpr int eventBatch = 64;

[[nodiscard]] static epoll_event eventOf(const int descriptor, const Interest interest)
{
    epoll_event event{};
    if (interest.end) {
        event.events |= EPOLLRDHUP;
    }
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

DescriptorSet::DescriptorSet()
    : m_epoll{epoll_create1(EPOLL_CLOEXEC)}
{
}

DescriptorSet::~DescriptorSet()
{
    ::close(m_epoll);
}

void DescriptorSet::add(const int descriptor, const Interest interest, Handler handler, FailureHandler onFailure)
{
    m_watched.insert_or_assign(descriptor, Watched{.generation = ++m_lastGeneration, .handler = std::move(handler), .onFailure = std::move(onFailure)});
    epoll_event event = internal::eventOf(descriptor, interest);
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event);
}

void DescriptorSet::change(const int descriptor, const Interest interest)
{
    epoll_event event = internal::eventOf(descriptor, interest);
    epoll_ctl(m_epoll, EPOLL_CTL_MOD, descriptor, &event);
}

void DescriptorSet::remove(const int descriptor)
{
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
    m_watched.erase(descriptor);
}

void DescriptorSet::removeClosing(const int descriptor)
{
    m_watched.erase(descriptor);
}

bool DescriptorSet::dispatch(const int waitMs)
{
    std::array<epoll_event, internal::eventBatch> events; // NOLINT(cppcoreguidelines-pro-type-member-init): the kernel fills the entries that are read
    const int count = epoll_wait(m_epoll, events.data(), internal::eventBatch, waitMs);
    const std::uint64_t newest = m_lastGeneration;
    for (int index = 0; index < count; ++index) {
        const epoll_event &event = events.at(static_cast<std::size_t>(index));
        const auto found = m_watched.find(event.data.fd);
        // An earlier handler of this batch may have closed the descriptor and opened another one with the same number.
        if (found == m_watched.end() || found->second.generation > newest) {
            continue;
        }
        const Handler handler = found->second.handler;
        call(event.data.fd, found->second.generation, handler, event.events);
    }
    return count > 0;
}

void DescriptorSet::call(const int descriptor, const std::uint64_t generation, const Handler &handler, const std::uint32_t events)
{
    try {
        handler(events);
    } catch (const std::exception &exception) {
        endOwner(descriptor, generation, exception.what());
    } catch (...) {
        endOwner(descriptor, generation, "unknown exception");
    }
}

void DescriptorSet::endOwner(const int descriptor, const std::uint64_t generation, const std::string_view reason)
{
    if (m_reporter) {
        m_reporter(descriptor, reason);
    }
    const auto found = m_watched.find(descriptor);
    const bool isSameOwner = found != m_watched.end() && found->second.generation == generation;
    if (isSameOwner && found->second.onFailure) {
        const FailureHandler onFailure = found->second.onFailure;
        onFailure();
    }
}

} // namespace egretlatch::net
