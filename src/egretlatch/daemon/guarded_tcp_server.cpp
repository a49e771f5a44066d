#include <egretlatch/daemon/guarded_tcp_server.hpp>

#include <fmt/format.h>

#include <egretlatch/daemon/problem_document.hpp>

namespace egretlatch::daemon
{

namespace internal
{

constexpr char receivedProperty[] = "egretlatchReceived";
constexpr int payloadTooLarge = 413;

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

void GuardedTcpServer::incomingConnection(const qintptr descriptor)
{
    auto *const socket = new QTcpSocket{this};
    if (!socket->setSocketDescriptor(descriptor)) {
        delete socket;
        return;
    }
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    resetReceivedBytes(socket);
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

void GuardedTcpServer::handleDisconnected(const QTcpSocket *const socket) const
{
    const qlonglong received = socket->property(internal::receivedProperty).toLongLong();
    if (received > 0) {
        m_onDrop(received > m_maxRequestBytes ? "too-large" : "incomplete");
    }
}

} // namespace egretlatch::daemon
