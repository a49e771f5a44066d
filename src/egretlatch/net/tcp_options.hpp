#ifndef EGRETLATCH_NET_TCP_OPTIONS_HPP
#define EGRETLATCH_NET_TCP_OPTIONS_HPP

#include <chrono>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace egretlatch::net
{

/**
 * @brief Sets TCP_NODELAY and TCP_USER_TIMEOUT, so that small writes are sent immediately and an unresponsive peer is detected.
 * @param descriptor The socket; sockets accepted by a listening one inherit the options.
 * @param unacknowledged Time after which unacknowledged bytes end the connection; zero for the long default of the kernel.
 */
inline void setTcpOptions(const int descriptor, const std::chrono::milliseconds unacknowledged)
{
    const int on = 1;
    const auto limitMs = static_cast<unsigned>(unacknowledged.count());
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &limitMs, sizeof limitMs);
}

/**
 * @brief Enables TCP keepalive, which ends the connection if the peer does not answer probes while nothing is sent.
 *
 * Detects a peer that is lost while a call awaits its answer: no bytes are unacknowledged then, so only a probe reveals it.
 * @param descriptor The socket.
 */
inline void enableKeepalive(const int descriptor)
{
    constexpr int on = 1;
    constexpr int idleSeconds = 1;
    constexpr int intervalSeconds = 1;
    // Two, so that a single lost packet does not end the connection.
    constexpr int probes = 2;
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof intervalSeconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

} // namespace egretlatch::net

#endif
