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

} // namespace egretlatch::net

#endif
