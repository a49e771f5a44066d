#ifndef EGRETLATCH_PEER_SOCKET_WATCH_HPP
#define EGRETLATCH_PEER_SOCKET_WATCH_HPP

#include <optional>
#include <vector>

#include <zmq.hpp>

#include <egretlatch/core/ids.hpp>

namespace egretlatch::peer
{

/*! @brief Identifies a watched socket. */
struct SocketSource
{
    /*! @brief Daemon at the remote end of the link; nothing for the socket that other daemons connect to. */
    std::optional<DaemonId> daemon;
    /*! @brief Tells whether the socket delivers monitor events of the connection rather than messages. */
    bool isMonitor{};
};

/**
 * @brief Watches many ZeroMQ sockets through one epoll descriptor.
 *
 * `zmq_poll` queries every socket on each wake-up, at one or two system calls a socket: this took a fifth of the processor
 * time of a daemon with 35 sockets (`perf`, twelve daemons on loopback). The descriptor of a socket signals that something
 * may have arrived, so only signalled sockets are read. Any call on a socket, including a send, consumes that signal; the
 * owner must therefore read a socket until it is empty after connecting it and after each use.
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
     * @param socket Socket to watch; must be removed before it is closed.
     * @param source Returned by ready() for this socket; must stay valid until the socket is removed.
     */
    void add(zmq::socket_t &socket, SocketSource &source);

    void remove(zmq::socket_t &socket);

    /**
     * @brief Lists the sockets that may have something to read.
     * @return Their sources, valid until the next socket is removed.
     */
    [[nodiscard]] std::vector<SocketSource *> ready();

    /**
     * @brief Returns the descriptor that is readable while ready() lists any socket.
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
