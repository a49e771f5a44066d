#include <doctest/doctest.h>

#include <fakes/event_loop.hpp>
#include <fakes/raw_server.hpp>

#include <egretlatch/net/tcp_stream.hpp>

using namespace egretlatch;

namespace
{

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
    fakes::RawServer remotePeer;
    Listener listener;
    net::TcpStream stream{poller, listener};
};

} // namespace

TEST_CASE("keepalive ends an idle connection whose peer has become unreachable")
{
    // Without the probes, a call that waits for its answer on such a connection would hang.
    fakes::ensureApplication();
    net::Poller poller;
    fakes::RawServer remotePeer;
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
    fakes::RawServer remotePeer;
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

TEST_CASE("a paused stream delivers the peer's bytes and orderly end once it reads on")
{
    // Guards against a loss of the rest of an answer that is held up.
    constexpr qsizetype sentBytes = 100'000;
    fakes::ensureApplication();
    net::Poller poller;
    fakes::RawServer remotePeer;
    Listener listener;
    net::TcpStream stream{poller, listener};
    REQUIRE(stream.open(remotePeer.endpoint()));
    remotePeer.accept();
    REQUIRE(fakes::runUntil([&listener] {
        return listener.isOpen;
    }));
    stream.setPaused(true);
    remotePeer.send(std::string(sentBytes, 'x'));
    remotePeer.finish();
    int turns = 0;
    REQUIRE(fakes::runUntil([&turns] {
        return ++turns > 5;
    }));
    CHECK(listener.received.isEmpty());
    CHECK_FALSE(listener.ended.has_value());
    stream.setPaused(false);
    REQUIRE(fakes::runUntil([&listener] {
        return listener.ended.has_value();
    }));
    CHECK(listener.received.size() == sentBytes);
    CHECK(*listener.ended == net::StreamEnd::finished);
}
