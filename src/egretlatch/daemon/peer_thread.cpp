#include <egretlatch/daemon/peer_thread.hpp>

#include <array>

#include <poll.h>

namespace egretlatch::daemon
{

namespace internal
{

constexpr int linkUpdateIntervalMs = 1000;

} // namespace internal

PeerThread::PeerThread(
    DaemonId self, const Incarnation incarnation, std::optional<settings::PeerKeys> keys, Ring<decision::Event> &receivedEvents, account::MetricsSink &metrics)
    : m_receivedEvents{receivedEvents}
    , m_metrics{metrics}
    , m_exchange{std::move(self),
                 incarnation,
                 std::move(keys),
                 [this](decision::Event event) {
                     push(std::move(event));
                 },
                 metrics}
{
}

PeerThread::~PeerThread()
{
    stop();
}

void PeerThread::stop()
{
    m_isStopping.store(true);
    m_waker.wake();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

Result<void> PeerThread::start(const std::string &endpoint, Ring<decision::SendToPeer> &messagesToSend)
{
    if (Result<void> bound = m_exchange.start(endpoint); !bound.has_value()) {
        return bound;
    }
    m_thread = std::thread{[this, &messagesToSend] {
        run(messagesToSend);
    }};
    return {};
}

void PeerThread::run(Ring<decision::SendToPeer> &messagesToSend)
{
    while (!m_isStopping.load()) {
        std::array<pollfd, 2> watched{
            {{.fd = m_waker.descriptor(), .events = POLLIN, .revents = 0}, {.fd = m_exchange.descriptor(), .events = POLLIN, .revents = 0}}};
        ::poll(watched.data(), watched.size(), internal::linkUpdateIntervalMs);
        m_waker.reset();
        while (const std::unique_ptr<decision::SendToPeer> action = messagesToSend.tryPop()) {
            m_exchange.send(*action);
        }
        m_exchange.processSockets();
    }
}

void PeerThread::push(decision::Event event)
{
    // Losing an event is safe: a call whose end is not reported ends at its deadline with `may-have-run`.
    if (!m_receivedEvents.tryPush(std::move(event))) {
        m_metrics.count("messages_dropped", "ring-full");
    }
}

} // namespace egretlatch::daemon
