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
 * @brief Accepts connections for an HTTP server and cuts off those that send too much.
 *
 * The HTTP server beneath keeps a request in memory until it is whole, however large it says it is. One caller could
 * fill the VM's memory before the request is ever looked at. This server counts what a connection sends, and ends it
 * with 413 once more has come than a request may have; the count starts anew with each request that was taken.
 */
class GuardedTcpServer final : public QTcpServer
{
public:
    /*! @brief Told of a connection that ended with bytes that never became a request: `too-large` or `incomplete`. */
    using DropHandler = std::function<void(std::string_view reason)>;

    /**
     * @brief Builds a server that does not listen yet.
     * @param maxRequestBytes Bytes that a request may have, headers included.
     * @param onDrop Called once for each connection that ends so.
     */
    GuardedTcpServer(std::int64_t maxRequestBytes, DropHandler onDrop);

    /**
     * @brief Starts the count anew.
     * @param socket A connection whose request has been taken whole.
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
