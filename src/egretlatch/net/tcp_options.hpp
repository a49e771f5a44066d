#ifndef EGRETLATCH_NET_TCP_OPTIONS_HPP
#define EGRETLATCH_NET_TCP_OPTIONS_HPP

#include <chrono>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace egretlatch::net
{

/**
 * @brief Makes a socket send small writes at once, and end when the other side is silent.
 * @param descriptor The socket; those that a listening one accepts inherit it.
 * @param unacknowledged Time after which bytes that nobody acknowledges end the connection.
 */
inline void setTcpOptions(const int descriptor, const std::chrono::milliseconds unacknowledged)
{
    const int on = 1;
    const auto limitMs = static_cast<unsigned>(unacknowledged.count());
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &limitMs, sizeof limitMs);
}

/**
 * @brief Makes the kernel ask the other side for a sign of life while nothing is sent, and end the connection without one.
 *
 * Guards against a connection that has gone silent under a call whose answer is waited for: nothing is unacknowledged, so
 * only a probe shows it.
 * @param descriptor The socket.
 */
inline void enableKeepalive(const int descriptor)
{
    constexpr int on = 1;
    constexpr int idleSeconds = 1;
    constexpr int intervalSeconds = 1;
    // Two, so that one lost packet ends nothing.
    constexpr int probes = 2;
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof intervalSeconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

} // namespace egretlatch::net

#endif
