#ifndef TEST_FAKES_RAW_SERVER_HPP
#define TEST_FAKES_RAW_SERVER_HPP

#include <algorithm>
#include <string>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <doctest/doctest.h>

#include <egretlatch/net/endpoint.hpp>

namespace fakes
{

/*! @brief Server of one connection on a raw socket, which can also violate the protocol and end the connection in any way. */
class RawServer
{
public:
    RawServer()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
        REQUIRE(::listen(m_listener, 8) == 0);
        socklen_t size = sizeof address;
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    ~RawServer()
    {
        ::close(m_listener);
        if (m_connection >= 0) {
            ::close(m_connection);
        }
    }

    [[nodiscard]] egretlatch::net::Endpoint endpoint() const
    {
        return {.address = "127.0.0.1", .port = m_port};
    }

    /*! @brief Checks whether accept() would return at once. */
    [[nodiscard]] bool hasCaller() const
    {
        pollfd entry{.fd = m_listener, .events = POLLIN, .revents = 0};
        return ::poll(&entry, 1, 0) > 0;
    }

    void accept()
    {
        m_connection = ::accept(m_listener, nullptr, nullptr);
    }

    /*! @brief Bounds the bytes that the kernel takes for this end before receive(); to be called before accept(). */
    void limitReceiving() const
    {
        constexpr int bytes = 4096;
        REQUIRE(::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes) == 0);
    }

    /*! @brief Returns what has arrived; waits for the first bytes unless told otherwise. */
    [[nodiscard]] std::string receive(const int flags = 0) const
    {
        char buffer[4096];
        const ssize_t count = ::recv(m_connection, buffer, sizeof buffer, flags);
        return {buffer, static_cast<std::size_t>(std::max<ssize_t>(count, 0))};
    }

    void send(const std::string &bytes) const
    {
        static_cast<void>(::send(m_connection, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

    /*! @brief Sends what the kernel takes at once; returns the number of bytes, or -1 if the connection has ended. */
    [[nodiscard]] ssize_t trySend(const std::string &bytes) const
    {
        const ssize_t count = ::send(m_connection, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return count < 0 && errno == EAGAIN ? 0 : count;
    }

    /*! @brief Ends the sending half in order. */
    void finish() const
    {
        ::shutdown(m_connection, SHUT_WR);
    }

    void reset()
    {
        const linger now{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(m_connection, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::close(m_connection);
        m_connection = -1;
    }

    /*! @brief Makes the kernel drop all packets to this end, so that no probe is answered. */
    void dropIncoming() const
    {
        sock_filter dropAll{.code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = 0};
        const sock_fprog program{.len = 1, .filter = &dropAll};
        REQUIRE(::setsockopt(m_connection, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0);
    }

private:
    int m_listener{-1};
    int m_connection{-1};
    std::uint16_t m_port{};
};

} // namespace fakes

#endif
