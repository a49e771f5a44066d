#ifndef EGRETLATCH_DAEMON_GUARDED_TCP_SERVER_HPP
#define EGRETLATCH_DAEMON_GUARDED_TCP_SERVER_HPP

#include <cstdint>
#include <functional>
#include <string_view>

#include <QTcpServer>
#include <QTcpSocket>

namespace egretlatch::daemon
{

/**
 * @brief Accepts connections for an HTTP server and closes those that send an oversized request.
 *
 * QAbstractHttpServer buffers a request in memory until it is complete, whatever its size, so that one caller could
 * exhaust the VM's memory before any handler runs. This server counts the bytes received on each connection and closes
 * it with 413 when they exceed the limit of a request. The count is reset for each request that is handled.
 */
class GuardedTcpServer final : public QTcpServer
{
public:
    /*! @brief Receives the reason why a connection ended with an unhandled request: `too-large` or `incomplete`. */
    using DropHandler = std::function<void(std::string_view reason)>;

    /**
     * @brief Creates a server that does not listen yet.
     * @param maxRequestBytes Size limit of a request in bytes, headers included.
     * @param onDrop Called once for each connection that ends with an unhandled request.
     */
    GuardedTcpServer(std::int64_t maxRequestBytes, DropHandler onDrop);

    /**
     * @brief Resets the byte count of a connection.
     * @param socket Connection whose request was received completely.
     */
    static void resetReceivedBytes(QTcpSocket *socket);

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    void countReceivedBytes(QTcpSocket *socket) const;
    void handleDisconnected(const QTcpSocket *socket) const;

    std::int64_t m_maxRequestBytes;
    DropHandler m_onDrop;
};

} // namespace egretlatch::daemon

#endif
