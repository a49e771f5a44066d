#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fakes/event_loop.hpp>

#include <egretlatch/net/tcp_stream.hpp>

using namespace egretlatch;

namespace
{

/*! @brief Remote end of one connection; after dropIncoming() the kernel drops all packets to it, so that no probe is answered. */
class RemotePeer
{
public:
    RemotePeer()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
        REQUIRE(::listen(m_listener, 1) == 0);
        socklen_t size = sizeof address;
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
    }

    RemotePeer(const RemotePeer &) = delete;
    RemotePeer &operator=(const RemotePeer &) = delete;

    ~RemotePeer()
    {
        ::close(m_connection);
        ::close(m_listener);
    }

    [[nodiscard]] net::Endpoint endpoint() const
    {
        return {.address = "127.0.0.1", .port = m_port};
    }

    void accept()
    {
        m_connection = ::accept(m_listener, nullptr, nullptr);
    }

    /*! @brief Bounds the bytes that the kernel takes for this end, which reads none. */
    void limitReceiving() const
    {
        constexpr int bytes = 4096;
        REQUIRE(::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes) == 0);
    }

    void send(const std::string &bytes) const
    {
        REQUIRE(::send(m_connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }

    /*! @brief Ends the sending half in order. */
    void finish() const
    {
        REQUIRE(::shutdown(m_connection, SHUT_WR) == 0);
    }

    void reset()
    {
        const linger now{.l_onoff = 1, .l_linger = 0};
        REQUIRE(::setsockopt(m_connection, SOL_SOCKET, SO_LINGER, &now, sizeof now) == 0);
        ::close(m_connection);
        m_connection = -1;
    }

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

struct Listener final : net::StreamListener
{
    void onOpen() override
    {
        isOpen = true;
    }

    void onBytes(const QByteArray &bytes) override
    {
        received += bytes;
    }

    void onEnd(const net::StreamEnd end) override
    {
        ended = end;
    }

    bool isOpen{};
    QByteArray received;
    std::optional<net::StreamEnd> ended;
};

/*! @brief Open stream that has sent more than its peer takes. */
struct BlockedStream
{
    BlockedStream()
    {
        fakes::ensureApplication();
        remotePeer.limitReceiving();
        REQUIRE(stream.open(remotePeer.endpoint()));
        remotePeer.accept();
        REQUIRE(fakes::runUntil([this] {
            return listener.isOpen;
        }));
        constexpr qsizetype manyBytes = qsizetype{16} * 1024 * 1024;
        stream.write(QByteArray(manyBytes, 'x'));
        REQUIRE(stream.unsentBytes() > 0);
    }

    [[nodiscard]] bool waitForEnd()
    {
        return fakes::runUntil([this] {
            return listener.ended.has_value();
        });
    }

    net::Poller poller;
    RemotePeer remotePeer;
    Listener listener;
    net::TcpStream stream{poller, listener};
};

} // namespace

TEST_CASE("keepalive ends an idle connection whose peer has become unreachable")
{
    // Without the probes, a call that waits for its answer on such a connection would hang.
    fakes::ensureApplication();
    net::Poller poller;
    RemotePeer remotePeer;
    Listener listener;
    net::TcpStream stream{poller, listener};
    REQUIRE(stream.open(remotePeer.endpoint()));
    remotePeer.accept();
    REQUIRE(fakes::runUntil([&listener] {
        return listener.isOpen;
    }));
    remotePeer.dropIncoming();
    CHECK(fakes::runUntil([&listener] {
        return listener.ended.has_value();
    }));
}

TEST_CASE("a peer that reads late keeps the connection of a patient stream, and one that is gone does not")
{
    // Guards against a failure in place of the answer of a server that is at work while it has not read a long body.
    constexpr qsizetype manyBytes = qsizetype{16} * 1024 * 1024;
    constexpr std::chrono::milliseconds lateReading{4000};
    fakes::ensureApplication();
    net::Poller poller;
    RemotePeer remotePeer;
    remotePeer.limitReceiving();
    Listener listener;
    net::TcpStream stream{poller, listener};
    REQUIRE(stream.open(remotePeer.endpoint()));
    remotePeer.accept();
    REQUIRE(fakes::runUntil([&listener] {
        return listener.isOpen;
    }));
    stream.setPatience(true);
    stream.write(QByteArray(manyBytes, 'x'));
    const auto start = std::chrono::steady_clock::now();
    REQUIRE(fakes::runUntil([&start, lateReading] {
        return std::chrono::steady_clock::now() - start > lateReading;
    }));
    CHECK_FALSE(listener.ended.has_value());
    CHECK_FALSE(stream.isSilent());
    CHECK(stream.undeliveredBytes() > 0);
    remotePeer.dropIncoming();
    CHECK(fakes::runUntil([&stream] {
        return stream.isSilent();
    }));
}

TEST_CASE("a reset that is seen in sending first is no orderly end")
{
    // Guards against a part of an answer that passes for the whole one.
    BlockedStream blocked;
    blocked.remotePeer.send("half");
    blocked.remotePeer.reset();
    REQUIRE(blocked.waitForEnd());
    CHECK(blocked.listener.received == "half");
    CHECK(*blocked.listener.ended == net::StreamEnd::broken);
}

TEST_CASE("a reset that a write outside the event loop sees first is no orderly end")
{
    BlockedStream blocked;
    blocked.remotePeer.send("half");
    blocked.remotePeer.reset();
    blocked.stream.write("more");
    blocked.stream.write("and more");
    REQUIRE(blocked.waitForEnd());
    CHECK(blocked.listener.received == "half");
    CHECK(*blocked.listener.ended == net::StreamEnd::broken);
}

TEST_CASE("an orderly end is one although bytes are unsent, also if a reset follows")
{
    // Guards against a failure in place of the whole answer of a server that does not read the rest of the request.
    for (const bool isResetAfterwards : {false, true}) {
        BlockedStream blocked;
        blocked.remotePeer.send("whole");
        blocked.remotePeer.finish();
        if (isResetAfterwards) {
            blocked.remotePeer.reset();
        }
        REQUIRE(blocked.waitForEnd());
        CHECK(blocked.listener.received == "whole");
        CHECK(*blocked.listener.ended == net::StreamEnd::finished);
    }
}
