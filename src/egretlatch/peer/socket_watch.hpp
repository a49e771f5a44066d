#ifndef EGRETLATCH_PEER_SOCKET_WATCH_HPP
#define EGRETLATCH_PEER_SOCKET_WATCH_HPP

#include <optional>
#include <vector>

#include <zmq.hpp>

#include <egretlatch/core/ids.hpp>

namespace egretlatch::peer
{

/*! @brief Which socket has something to say. */
struct SocketSource
{
    /*! @brief The daemon that its link leads to; nothing for the socket that others connect to. */
    std::optional<DaemonId> daemon;
    /*! @brief Whether it tells of the connection, and not of messages. */
    bool isMonitor{};
};

/**
 * @brief Watches many ZeroMQ sockets by one descriptor.
 *
 * `zmq_poll` asks each socket in turn with each wake-up, which is a system call or two a socket: of the processor time of a
 * daemon with 35 sockets a fifth went there (`perf`, twelve daemons on loopback). A socket's own descriptor says that
 * something may have come, so only those that say so are looked at. What may have come is taken by any call on the socket,
 * a sending one too; the owner reads a socket until it is empty once it is connected, and after each use.
 */
class SocketWatch
{
public:
    SocketWatch();
    SocketWatch(const SocketWatch &) = delete;
    SocketWatch &operator=(const SocketWatch &) = delete;
    ~SocketWatch();

    /**
     * @brief Watches a socket.
     * @param socket The socket; must be removed before it is closed.
     * @param source Given back by ready(); must outlive the watch of the socket.
     */
    void add(zmq::socket_t &socket, SocketSource &source);

    void remove(zmq::socket_t &socket);

    /**
     * @brief Lists the sockets that may have something.
     * @return Their sources, valid until the next socket is removed.
     */
    [[nodiscard]] std::vector<SocketSource *> ready();

    /**
     * @brief Gives the descriptor that is readable while ready() lists any.
     * @return The descriptor, valid as long as this object.
     */
    [[nodiscard]] int descriptor() const noexcept
    {
        return m_epoll;
    }

private:
    int m_epoll;
};

} // namespace egretlatch::peer

#endif
