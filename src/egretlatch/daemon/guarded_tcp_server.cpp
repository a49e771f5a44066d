#include <egretlatch/daemon/guarded_tcp_server.hpp>

#include <array>

#include <linux/filter.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <QTimer>

#include <fmt/format.h>

#include <egretlatch/daemon/problem_document.hpp>
#include <egretlatch/net/peer_silence.hpp>

namespace egretlatch::daemon
{

namespace internal
{

constexpr char receivedProperty[] = "egretlatchReceived";
constexpr int payloadTooLarge = 413;
// Time for a caller to close its connection once its system has acknowledged the last answer.
constexpr std::chrono::milliseconds lingerTime{2000};
constexpr std::chrono::milliseconds lingerCheckInterval{100};
// Time from the opening of a connection to its first request.
constexpr std::chrono::milliseconds firstRequestTime{200};
// Time for the handshakes of connections that are being opened.
constexpr std::chrono::milliseconds handshakeTime{50};
constexpr std::uint32_t tcpFlagsOffset = 13;
constexpr std::uint32_t tcpSynFlag = 0x02;
constexpr std::uint32_t wholePacket = 0xffffffff;

[[nodiscard]] static int descriptorOf(const QTcpSocket &socket)
{
    return static_cast<int>(socket.socketDescriptor());
}

[[nodiscard]] static bool hasUnread(const QTcpSocket &socket)
{
    int unread = 0;
    return socket.bytesAvailable() > 0 || (::ioctl(descriptorOf(socket), FIONREAD, &unread) == 0 && unread > 0);
}

// Drops the packets that open a connection; those of handshakes under way still pass.
static void dropNewConnections(const int listener)
{
    std::array<sock_filter, 4> program{{
        {.code = BPF_LD | BPF_B | BPF_ABS, .jt = 0, .jf = 0, .k = tcpFlagsOffset},
        {.code = BPF_JMP | BPF_JSET | BPF_K, .jt = 0, .jf = 1, .k = tcpSynFlag},
        {.code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = 0},
        {.code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = wholePacket},
    }};
    const sock_fprog filter{.len = program.size(), .filter = program.data()};
    ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter);
}

// The caller's system has acknowledged all bytes, and the end of the connection if it was sent.
[[nodiscard]] static bool isAcknowledged(const QTcpSocket &socket)
{
    return socket.bytesToWrite() == 0 && net::unacknowledgedBytes(descriptorOf(socket)) == 0;
}

[[nodiscard]] static QByteArray tooLargeAnswer(const std::int64_t maxRequestBytes)
{
    decision::CallerAnswer answer;
    answer.status = payloadTooLarge;
    answer.requestError = fmt::format("the request is larger than {} bytes", maxRequestBytes);
    const QByteArray body = problemBody(answer);
    std::string text = "HTTP/1.1 413 Payload Too Large\r\nConnection: close\r\n";
    for (const Header &header : problemHeaders(answer)) {
        text += fmt::format("{}: {}\r\n", header.name, header.value);
    }
    text += fmt::format("Content-Length: {}\r\n\r\n", body.size());
    return QByteArray::fromStdString(text) + body;
}

} // namespace internal

GuardedTcpServer::GuardedTcpServer(const std::int64_t maxRequestBytes, DropHandler onDrop)
    : m_maxRequestBytes{maxRequestBytes}
    , m_onDrop{std::move(onDrop)}
{
}

void GuardedTcpServer::resetReceivedBytes(QTcpSocket *const socket)
{
    socket->setProperty(internal::receivedProperty, qlonglong{0});
}

void GuardedTcpServer::stopListening()
{
    // Closing the listening socket resets connections that wait to be accepted, whose requests may already have been sent. So
    // it is closed once none can come any more.
    internal::dropNewConnections(static_cast<int>(socketDescriptor()));
    QTimer::singleShot(internal::handshakeTime, this, &GuardedTcpServer::closeListener);
}

void GuardedTcpServer::closeListener()
{
    const auto listener = static_cast<int>(socketDescriptor());
    int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    while (descriptor >= 0) {
        incomingConnection(descriptor);
        descriptor = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    }
    close();
}

void GuardedTcpServer::closeAfterAnswer(QTcpSocket *const socket)
{
    const auto found = m_connections.find(socket);
    if (found == m_connections.end() || found->second.isClosing) {
        return;
    }
    found->second.isClosing = true;
    if (socket->bytesToWrite() == 0) {
        finishWriting(socket);
        return;
    }
    connect(socket, &QTcpSocket::bytesWritten, this, [socket] {
        if (socket->bytesToWrite() == 0) {
            finishWriting(socket);
        }
    });
}

bool GuardedTcpServer::isClosing(QTcpSocket *const socket) const
{
    const auto found = m_connections.find(socket);
    return found != m_connections.end() && found->second.isClosing;
}

bool GuardedTcpServer::hasUnhandledBytes(const QTcpSocket *const socket)
{
    return socket->property(internal::receivedProperty).toLongLong() > 0 || internal::hasUnread(*socket);
}

bool GuardedTcpServer::isIdle(QTcpSocket *const socket) const
{
    const bool isNew = std::chrono::steady_clock::now() - m_connections.at(socket).acceptedAt < internal::firstRequestTime;
    return !isNew && !hasUnhandledBytes(socket) && socket->bytesToWrite() == 0;
}

void GuardedTcpServer::abortDelivered()
{
    for (QTcpSocket *const socket : connections()) {
        if (isClosing(socket) && internal::isAcknowledged(*socket) && !internal::hasUnread(*socket)) {
            socket->abort();
        }
    }
}

std::vector<QTcpSocket *> GuardedTcpServer::connections() const
{
    std::vector<QTcpSocket *> sockets;
    sockets.reserve(m_connections.size());
    for (const auto &[socket, connection] : m_connections) {
        sockets.push_back(socket);
    }
    return sockets;
}

void GuardedTcpServer::incomingConnection(const qintptr descriptor)
{
    auto *const socket = new QTcpSocket{this};
    if (!socket->setSocketDescriptor(descriptor)) {
        delete socket;
        return;
    }
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    resetReceivedBytes(socket);
    m_connections.emplace(socket, Connection{.acceptedAt = std::chrono::steady_clock::now()});
    // Connected before the HTTP server connects its own slot, so the bytes are counted before the HTTP server reads them.
    connect(socket, &QTcpSocket::readyRead, this, [this, socket] {
        countReceivedBytes(socket);
    });
    connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
        handleDisconnected(socket);
    });
    addPendingConnection(socket);
}

void GuardedTcpServer::countReceivedBytes(QTcpSocket *const socket) const
{
    if (isClosing(socket)) {
        socket->readAll();
        return;
    }
    const qlonglong before = socket->property(internal::receivedProperty).toLongLong();
    const qlonglong received = before + socket->bytesAvailable();
    socket->setProperty(internal::receivedProperty, received);
    if (received <= m_maxRequestBytes) {
        return;
    }
    socket->readAll();
    if (before > m_maxRequestBytes) {
        return;
    }
    socket->write(internal::tooLargeAnswer(m_maxRequestBytes));
    socket->disconnectFromHost();
}

void GuardedTcpServer::finishWriting(QTcpSocket *const socket)
{
    ::shutdown(internal::descriptorOf(*socket), SHUT_WR);
    auto *const timer = new QTimer{socket};
    connect(timer, &QTimer::timeout, socket, [socket, lingered = std::chrono::milliseconds{}]() mutable {
        // A caller that pauses is owed the rest of its answer as long as its system answers.
        const bool isAcknowledged = internal::isAcknowledged(*socket);
        lingered = isAcknowledged ? lingered + internal::lingerCheckInterval : std::chrono::milliseconds{};
        if (lingered > internal::lingerTime || (!isAcknowledged && net::isPeerSilent(internal::descriptorOf(*socket)))) {
            socket->abort();
        }
    });
    timer->start(internal::lingerCheckInterval);
}

void GuardedTcpServer::handleDisconnected(QTcpSocket *const socket)
{
    m_connections.erase(socket);
    const qlonglong received = socket->property(internal::receivedProperty).toLongLong();
    if (received > 0) {
        m_onDrop(received > m_maxRequestBytes ? "too-large" : "incomplete");
    }
}

} // namespace egretlatch::daemon
