#include <egretlatch/net/tcp_stream.hpp>

#include <array>
#include <cerrno>
#include <chrono>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <egretlatch/net/tcp_options.hpp>

namespace egretlatch::net
{

namespace internal
{

constexpr std::size_t readSize = 65536;
// Unacknowledged bytes end the connection after this time: a VM that lost power or a network partition sends no reset, and
// the connection would hang for minutes. Longer than one second of packet loss with its retransmissions.
constexpr std::chrono::milliseconds unacknowledgedLimit{3000};
// A peer that is alive answers each probe of its closed window, so at most the latest one is unanswered.
constexpr int unansweredProbes = 2;

} // namespace internal

TcpStream::TcpStream(Poller &poller, StreamListener &listener)
    : m_poller{poller}
    , m_listener{listener}
{
}

TcpStream::~TcpStream()
{
    close();
}

bool TcpStream::open(const Endpoint &endpoint)
{
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0) {
        return false;
    }
    setTcpOptions(m_descriptor, internal::unacknowledgedLimit);
    enableKeepalive(m_descriptor);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    const int result = ::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (result != 0 && errno != EINPROGRESS) {
        ::close(m_descriptor);
        m_descriptor = -1;
        return false;
    }
    m_isConnecting = true;
    watch();
    return true;
}

void TcpStream::adopt(const int descriptor)
{
    m_descriptor = descriptor;
    watch();
}

void TcpStream::watch()
{
    m_interest = {.read = !m_isConnecting, .write = m_isConnecting};
    m_poller.add(m_descriptor, m_interest, [this](const std::uint32_t events) {
        handleEvents(events);
    });
}

void TcpStream::write(const QByteArray &bytes)
{
    if (m_descriptor < 0 || m_hasEnded) {
        return;
    }
    m_unsent.append(bytes);
    if (!m_isConnecting) {
        flush();
    }
}

void TcpStream::setReading(const bool isReading)
{
    m_isReading = isReading;
    updateInterest();
}

void TcpStream::finishWriting()
{
    m_isFinishing = true;
    if (m_descriptor >= 0 && m_unsent.isEmpty()) {
        ::shutdown(m_descriptor, SHUT_WR);
    }
}

qsizetype TcpStream::undeliveredBytes() const
{
    int inKernel = 0;
    // Without this figure, only the bytes that the kernel has not taken yet count.
    if (m_descriptor < 0 || ::ioctl(m_descriptor, SIOCOUTQ, &inKernel) != 0) {
        inKernel = 0;
    }
    return m_unsent.size() + inKernel;
}

void TcpStream::setPatience(const bool isPatient)
{
    if (m_descriptor < 0 || isPatient == m_isPatient) {
        return;
    }
    m_isPatient = isPatient;
    setTcpOptions(m_descriptor, isPatient ? std::chrono::milliseconds{0} : internal::unacknowledgedLimit);
}

bool TcpStream::isSilent() const
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (m_descriptor < 0 || ::getsockopt(m_descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return false;
    }
    const int unanswered = info.tcpi_retransmits + info.tcpi_probes;
    return unanswered >= internal::unansweredProbes && std::chrono::milliseconds{info.tcpi_last_ack_recv} > internal::unacknowledgedLimit;
}

void TcpStream::close()
{
    if (m_descriptor < 0) {
        return;
    }
    m_poller.removeClosing(m_descriptor);
    ::close(m_descriptor);
    m_descriptor = -1;
    m_unsent.clear();
}

void TcpStream::handleEvents(const std::uint32_t events)
{
    if (m_isConnecting) {
        finishConnecting();
        return;
    }
    if ((events & EPOLLOUT) != 0U) {
        flush();
        if (m_unsent.isEmpty()) {
            m_listener.onDrained();
        }
    }
    if (m_descriptor >= 0 && !m_isReading && (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0U) {
        // Reading is stopped, and an end left unread would be reported again in each iteration of the event loop.
        end(StreamEnd::broken);
        return;
    }
    if (m_descriptor >= 0 && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0U) {
        readAvailable();
    }
}

void TcpStream::finishConnecting()
{
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        end(StreamEnd::notConnected);
        return;
    }
    m_isConnecting = false;
    updateInterest();
    m_listener.onOpen();
    if (m_descriptor >= 0) {
        flush();
    }
}

void TcpStream::readAvailable()
{
    static thread_local std::array<char, internal::readSize> buffer;
    const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (count > 0) {
        m_listener.onBytes(QByteArray{buffer.data(), static_cast<qsizetype>(count)});
        return;
    }
    if (count == 0) {
        end(StreamEnd::finished);
        return;
    }
    if (errno != EAGAIN && errno != EINTR) {
        end(StreamEnd::broken);
    }
}

void TcpStream::flush()
{
    while (!m_unsent.isEmpty()) {
        const ssize_t count = ::send(m_descriptor, m_unsent.constData(), static_cast<std::size_t>(m_unsent.size()), MSG_NOSIGNAL);
        if (count < 0) {
            // A broken connection is reported by the read side, which first delivers the bytes received before the break.
            if (errno != EAGAIN && errno != EINTR) {
                m_unsent.clear();
            }
            break;
        }
        m_unsent.remove(0, static_cast<qsizetype>(count));
    }
    if (m_unsent.isEmpty() && m_isFinishing) {
        ::shutdown(m_descriptor, SHUT_WR);
    }
    updateInterest();
}

void TcpStream::updateInterest()
{
    if (m_descriptor < 0 || m_isConnecting || m_hasEnded) {
        return;
    }
    const Poller::Interest interest{.read = m_isReading, .write = !m_unsent.isEmpty()};
    if (interest.read != m_interest.read || interest.write != m_interest.write) {
        m_interest = interest;
        m_poller.change(m_descriptor, interest);
    }
}

void TcpStream::end(const StreamEnd reason)
{
    m_hasEnded = true;
    m_poller.removeClosing(m_descriptor);
    ::close(m_descriptor);
    m_descriptor = -1;
    m_listener.onEnd(reason);
}

} // namespace egretlatch::net
