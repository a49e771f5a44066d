#include <egretlatch/net/tcp_acceptor.hpp>

#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

#include <egretlatch/net/tcp_options.hpp>

namespace egretlatch::net
{

namespace internal
{

// Length of the accept queue. A full queue drops the SYN, which is retransmitted only after seconds.
constexpr int backlog = 1024;
// Connections accepted per event at most, so that a flood of new connections does not starve the open ones.
constexpr int acceptBatch = 32;
// Connections that arrive within this interval are accepted in batches. Otherwise one is accepted per event, since an
// accept that finds no second connection costs an extra system call for each connection.
constexpr std::chrono::milliseconds burstInterval{1};
// A caller that reads slowly keeps its receive window closed, which also counts towards the limit, so callers have longer
// than other peers.
constexpr std::chrono::seconds callerUnacknowledgedLimit{15};

} // namespace internal

TcpAcceptor::TcpAcceptor(Poller &poller, const Clock &clock, Handler handler)
    : m_poller{poller}
    , m_clock{clock}
    , m_handler{std::move(handler)}
{
}

TcpAcceptor::~TcpAcceptor()
{
    stop();
}

Result<void> TcpAcceptor::listen(const Endpoint &endpoint)
{
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    setTcpOptions(m_descriptor, internal::callerUnacknowledgedLimit);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    const bool isBound = ::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    if (!isBound || ::listen(m_descriptor, internal::backlog) != 0) {
        const std::string message = fmt::format("cannot listen at {}: {}", endpoint.text(), std::strerror(errno));
        ::close(m_descriptor);
        m_descriptor = -1;
        return tl::unexpected{Error{ErrorCode::unavailable, message}};
    }
    m_poller.add(m_descriptor, {.read = true}, [this](std::uint32_t /*events*/) {
        acceptAvailable();
    });
    return {};
}

void TcpAcceptor::stop()
{
    if (m_descriptor >= 0) {
        m_poller.remove(m_descriptor);
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

void TcpAcceptor::acceptAvailable()
{
    const SteadyTime now = m_clock.steadyNow();
    const int maxAccepts = now - m_lastAccept < internal::burstInterval ? internal::acceptBatch : 1;
    m_lastAccept = now;
    for (int count = 0; count < maxAccepts && m_descriptor >= 0; ++count) {
        const int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) {
            return;
        }
        m_handler(accepted);
    }
}

} // namespace egretlatch::net
