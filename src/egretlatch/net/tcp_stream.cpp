#include <egretlatch/net/tcp_stream.hpp>

#include <array>
#include <cerrno>
#include <chrono>
#include <string_view>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <egretlatch/net/peer_silence.hpp>
#include <egretlatch/net/tcp_options.hpp>

namespace egretlatch::net
{

namespace internal
{

constexpr std::size_t readSize = 65536;

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
    // A VM that lost power or a network partition sends no reset, and the connection would hang for minutes.
    setTcpOptions(m_descriptor, unacknowledgedLimit);
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
    m_poller.add(
        m_descriptor,
        m_interest,
        [this](const std::uint32_t events) {
            handleEvents(events);
        },
        [this] {
            end(StreamEnd::broken);
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

void TcpStream::setPaused(const bool isPaused)
{
    m_isPaused = isPaused;
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
    return m_unsent.size() + (m_descriptor < 0 ? 0 : unacknowledgedBytes(m_descriptor));
}

void TcpStream::setPatience(const bool isPatient)
{
    if (m_descriptor < 0 || isPatient == m_isPatient) {
        return;
    }
    m_isPatient = isPatient;
    setTcpOptions(m_descriptor, isPatient ? std::chrono::milliseconds{0} : unacknowledgedLimit);
}

bool TcpStream::isSilent() const
{
    return m_descriptor >= 0 && isPeerSilent(m_descriptor);
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
    const bool isStopped = !m_isReading || m_isPaused;
    if (m_descriptor >= 0 && isStopped && (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0U) {
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
        end(m_isBroken ? StreamEnd::broken : StreamEnd::finished);
        return;
    }
    if (errno != EAGAIN && errno != EINTR) {
        end(StreamEnd::broken);
    }
}

void TcpStream::flush()
{
    while (!m_unsent.isEmpty()) {
        const std::string_view bytes = m_unsent.front();
        const ssize_t count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                handleSendError(errno);
            }
            break;
        }
        m_unsent.consume(static_cast<qsizetype>(count));
    }
    if (m_unsent.isEmpty() && m_isFinishing) {
        ::shutdown(m_descriptor, SHUT_WR);
    }
    updateInterest();
}

void TcpStream::handleSendError(const int error)
{
    // The read side reports the end, after it has delivered the bytes received before it. The kernel reports an error once, so
    // recv() would now report a reset as an orderly end. EPIPE alone is no such error: a reset that follows the peer's orderly
    // end is reported as EPIPE, and all that the peer sent had been received by then.
    m_isBroken = m_isBroken || error != EPIPE;
    m_unsent.clear();
}

void TcpStream::updateInterest()
{
    if (m_descriptor < 0 || m_isConnecting || m_hasEnded) {
        return;
    }
    const Poller::Interest interest{.read = m_isReading && !m_isPaused, .write = !m_unsent.isEmpty(), .end = !m_isPaused};
    if (interest != m_interest) {
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
