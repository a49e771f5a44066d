#ifndef EGRETLATCH_DAEMON_GUARDED_TCP_SERVER_HPP
#define EGRETLATCH_DAEMON_GUARDED_TCP_SERVER_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <QTcpServer>
#include <QTcpSocket>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::daemon
{

/**
 * @brief Accepts connections for an HTTP server and closes those that send an oversized request.
 *
 * QAbstractHttpServer buffers a request in memory until it is complete, whatever its size, so that one caller could
 * exhaust the VM's memory before any handler runs. This server counts the bytes received on each connection and closes
 * it with 413 when they exceed the limit of a request. The count is reset for each request that is handled.
 *
 * At a shutdown it ends connections in such a way that no request is cut off: closing a connection with unread bytes would
 * reset it, and the caller could lose an answer that is still on its way.
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

    /**
     * @brief Accepts the connections that callers have already opened or are opening, then refuses further ones.
     *
     * A caller that connects in the meantime is refused with the retry of its system, after a second.
     */
    void stopListening();

    /**
     * @brief Closes a connection once all that was written to it is sent. What the caller sends from now on is ignored.
     * @param socket Connection whose last answer was written.
     */
    void closeAfterAnswer(QTcpSocket *socket);

    /**
     * @brief Returns whether closeAfterAnswer() was called for a connection.
     * @param socket An open connection.
     */
    [[nodiscard]] bool isClosing(QTcpSocket *socket) const;

    /**
     * @brief Returns whether a connection has received bytes that no handled request consists of.
     * @param socket An open connection.
     */
    [[nodiscard]] static bool hasUnhandledBytes(const QTcpSocket *socket);

    /**
     * @brief Returns whether a connection has neither received a part of a request nor has bytes to send.
     *
     * A new connection counts as idle only after some time, since its first request is about to arrive.
     * @param socket An open connection that is not closing.
     */
    [[nodiscard]] bool isIdle(QTcpSocket *socket) const;

    /*! @brief Aborts the closing connections whose callers have received everything. */
    void abortDelivered();

    /*! @brief Returns the open connections, closing ones included. */
    [[nodiscard]] std::vector<QTcpSocket *> connections() const;

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    struct Connection
    {
        SteadyTime acceptedAt;
        bool isClosing{};
    };

    void countReceivedBytes(QTcpSocket *socket) const;
    void handleDisconnected(QTcpSocket *socket);
    static void finishWriting(QTcpSocket *socket);
    void closeListener();

    std::int64_t m_maxRequestBytes;
    DropHandler m_onDrop;
    std::unordered_map<QTcpSocket *, Connection> m_connections;
};

} // namespace egretlatch::daemon

#endif
