#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fakes/event_loop.hpp>
#include <fakes/loopback.hpp>
#include <fakes/manual_clock.hpp>

#include <egretlatch/http/server.hpp>

using namespace egretlatch;
using namespace egretlatch::http;

namespace
{

// Constructed before any object that watches sockets.
struct Application
{
    Application()
    {
        fakes::ensureApplication();
    }
};

/*! @brief Server that answers each request with a large body, and one caller that reads only when told to. */
struct SlowReaderFixture
{
    static constexpr qsizetype answerBytes = qsizetype{16} * 1024 * 1024;
    static constexpr const char *closingRequest = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

    explicit SlowReaderFixture(const std::string &request = closingRequest)
    {
        constexpr std::size_t schemeSize = 6;
        const net::Endpoint endpoint = *net::Endpoint::parse(fakes::freeEndpoint().substr(schemeSize));
        REQUIRE(server.listen(endpoint).has_value());
        caller = ::socket(AF_INET, SOCK_STREAM, 0);
        constexpr int receiveBytes = 16384;
        ::setsockopt(caller, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(caller, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
        REQUIRE(::send(caller, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
        REQUIRE(fakes::runUntil([this] {
            return hasAnswered;
        }));
        server.setDropHandler([this](const DropReason reason, qsizetype /*undelivered*/) {
            dropped.push_back(reason);
        });
    }

    SlowReaderFixture(const SlowReaderFixture &) = delete;
    SlowReaderFixture &operator=(const SlowReaderFixture &) = delete;

    ~SlowReaderFixture()
    {
        ::close(caller);
    }

    // Reads until the kernel has passed on bytes of the answer.
    void readSome()
    {
        std::vector<char> buffer(65536);
        REQUIRE(fakes::runUntil([this, &buffer] {
            const ssize_t count = ::recv(caller, buffer.data(), buffer.size(), MSG_DONTWAIT);
            received += std::max<ssize_t>(count, 0);
            return count > 0;
        }));
    }

    void pass(const Duration span)
    {
        clock.advance(span);
        server.tick();
    }

    // Lets time pass in steps while the caller takes nothing.
    void pause(const Duration span)
    {
        constexpr std::chrono::milliseconds step{100};
        for (Duration passed{}; passed < span; passed += step) {
            pass(step);
        }
    }

    void readAll(const qsizetype bytes)
    {
        while (received < bytes) {
            readSome();
        }
    }

    void dropIncoming() const
    {
        sock_filter dropAll{.code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = 0};
        const sock_fprog program{.len = 1, .filter = &dropAll};
        REQUIRE(::setsockopt(caller, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0);
    }

    Application application;
    fakes::ManualClock clock;
    net::Poller poller;
    bool hasAnswered{};
    std::vector<DropReason> dropped;
    int caller{-1};
    qsizetype received{};
    Server server{poller,
                  clock,
                  [this](const ExchangeId exchange, const Request & /*request*/, SteadyTime /*readAt*/) {
                      Response response;
                      response.status = 200;
                      response.body = QByteArray(answerBytes, 'a');
                      hasAnswered = true;
                      server.answer(exchange, std::move(response));
                  },
                  [](const ExchangeId /*exchange*/) {}};
};

} // namespace

TEST_CASE("a caller that goes on reading its last answer is not cut off, however long it takes")
{
    // Guards against downloads over slow lines being cut off two seconds after the answer was handed over, as at a shutdown.
    SlowReaderFixture fixture;
    for (int second = 0; second < 20; ++second) {
        fixture.readSome();
        fixture.pass(std::chrono::seconds{1});
        REQUIRE(fixture.server.owesAnswers());
    }
    while (fixture.received < SlowReaderFixture::answerBytes) {
        fixture.readSome();
    }
    // The last acknowledgement may be under way.
    CHECK(fakes::runUntil([&fixture] {
        return !fixture.server.owesAnswers();
    }));
}

TEST_CASE("a caller that pauses in its last answer and then reads on gets all of it")
{
    // Guards against downloads being cut off at a shutdown because their callers took nothing for some seconds.
    SlowReaderFixture fixture;
    for (const auto pause : {std::chrono::milliseconds{3200}, std::chrono::milliseconds{100}, std::chrono::milliseconds{25'000}}) {
        fixture.readSome();
        fixture.pause(pause);
        REQUIRE(fixture.server.owesAnswers());
    }
    fixture.readAll(SlowReaderFixture::answerBytes);
    CHECK(fixture.dropped.empty());
}

TEST_CASE("a caller that pauses in an answer that is not its last one gets all of it, and the answers behind it")
{
    constexpr qsizetype answers = 3;
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    SlowReaderFixture fixture{request + request + request};
    fixture.pause(std::chrono::seconds{20});
    fixture.readSome();
    fixture.pause(std::chrono::seconds{20});
    fixture.readAll(answers * SlowReaderFixture::answerBytes);
    CHECK(fixture.dropped.empty());
}

TEST_CASE("a caller that pauses before the error that closes its connection gets that too")
{
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    SlowReaderFixture fixture{request + "NONSENSE\r\n\r\n"};
    fixture.pause(std::chrono::seconds{10});
    // The error answer is behind the whole first one.
    fixture.readAll(SlowReaderFixture::answerBytes + 100);
    CHECK(fixture.dropped.empty());
}

TEST_CASE("a caller that takes nothing for longer than the limit is not waited for")
{
    SlowReaderFixture fixture;
    fixture.pause(ServerLimits{}.pauseLimit + std::chrono::seconds{1});
    CHECK_FALSE(fixture.server.owesAnswers());
    CHECK(fixture.dropped == std::vector{DropReason::paused});
}

TEST_CASE("a caller whose machine is gone is not waited for")
{
    // Guards against an end of the process that waits for callers that no longer exist.
    SlowReaderFixture fixture;
    fixture.pass(std::chrono::milliseconds{100});
    fixture.dropIncoming();
    // The kernel notices by its probes, on its own clock.
    auto last = std::chrono::steady_clock::now();
    CHECK(fakes::runUntil([&fixture, &last] {
        const auto now = std::chrono::steady_clock::now();
        fixture.pass(now - std::exchange(last, now));
        return !fixture.server.owesAnswers();
    }));
    CHECK(fixture.dropped == std::vector{DropReason::silent});
}

TEST_CASE("callers that take nothing do not fill the memory, and the one that paused longest goes first")
{
    // Guards against a daemon that is ended for its memory, with all of its connections, because of callers that pause.
    SlowReaderFixture fixture;
    fixture.pause(std::chrono::seconds{5});
    CHECK(fixture.dropped.empty());
    fixture.server.setHeldLimit(SlowReaderFixture::answerBytes / 4);
    fixture.pass(std::chrono::milliseconds{100});
    CHECK(fixture.dropped == std::vector{DropReason::memory});
    CHECK_FALSE(fixture.server.owesAnswers());
}
