#include <egretlatch/daemon/peer_thread.hpp>

#include <array>

#include <poll.h>

namespace egretlatch::daemon
{

namespace internal
{

constexpr int sweepIntervalMs = 1000;

} // namespace internal

PeerThread::PeerThread(
    DaemonId self, const Incarnation incarnation, std::optional<settings::PeerKeys> keys, Ring<decision::Event> &inward, account::MetricsSink &metrics)
    : m_inward{inward}
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

Result<void> PeerThread::start(const std::string &endpoint, Ring<decision::SendToPeer> &outward)
{
    if (Result<void> bound = m_exchange.start(endpoint); !bound.has_value()) {
        return bound;
    }
    m_thread = std::thread{[this, &outward] {
        run(outward);
    }};
    return {};
}

void PeerThread::run(Ring<decision::SendToPeer> &outward)
{
    while (!m_isStopping.load()) {
        std::array<pollfd, 2> watched{
            {{.fd = m_waker.descriptor(), .events = POLLIN, .revents = 0}, {.fd = m_exchange.descriptor(), .events = POLLIN, .revents = 0}}};
        ::poll(watched.data(), watched.size(), internal::sweepIntervalMs);
        m_waker.reset();
        while (const std::unique_ptr<decision::SendToPeer> order = outward.tryPop()) {
            m_exchange.send(*order);
        }
        m_exchange.processSockets();
    }
}

void PeerThread::push(decision::Event event)
{
    // What is lost here is harmless: a call whose end is not told ends at its deadline with `may-have-run`.
    if (!m_inward.tryPush(std::move(event))) {
        m_metrics.count("messages_dropped", "ring-full");
    }
}

} // namespace egretlatch::daemon
