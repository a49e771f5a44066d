#ifndef EGRETLATCH_PEER_SOCKET_MONITOR_HPP
#define EGRETLATCH_PEER_SOCKET_MONITOR_HPP

#include <cstdint>
#include <optional>
#include <string>

#include <zmq.hpp>

namespace egretlatch::peer
{

/**
 * @brief Receives the connection events of a ZeroMQ socket, without ever making ZeroMQ wait for their reader.
 *
 * The thread of ZeroMQ that serves all connections of a context also writes these events, and blocks while one cannot be
 * written: once their pipe is full, and for ever once their reader is closed. No connection sends or receives meanwhile.
 * So the pipe has no limit here, and the events are switched off before the reader is closed. `zmq::monitor_t` sets no such
 * limit and has no descriptor to watch.
 */
class SocketMonitor
{
public:
    /**
     * @brief Switches the events of a socket on.
     * @param context Context of the socket.
     * @param socket Socket to monitor; must not be bound or connected yet, and must outlive this object.
     * @param events Events to receive, a combination of `ZMQ_EVENT_*`.
     * @param endpoint `inproc` address for the events, unique in the context.
     * @throws zmq::error_t If the context has no room for another socket, or the address is in use.
     */
    SocketMonitor(zmq::context_t &context, zmq::socket_t &socket, int events, const std::string &endpoint);
    SocketMonitor(const SocketMonitor &) = delete;
    SocketMonitor &operator=(const SocketMonitor &) = delete;
    ~SocketMonitor();

    /**
     * @brief Receives an event.
     * @return Its number, one of `ZMQ_EVENT_*`; nothing if there is none.
     */
    [[nodiscard]] std::optional<std::uint16_t> next();

    /*! @brief Returns the socket that is readable when there are events, valid as long as this object. */
    [[nodiscard]] zmq::socket_t &reader() noexcept
    {
        return m_reader;
    }

private:
    zmq::socket_t &m_socket;
    zmq::socket_t m_reader;
};

} // namespace egretlatch::peer

#endif
