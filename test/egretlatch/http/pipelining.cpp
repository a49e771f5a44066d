#include <deque>
#include <map>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fakes/event_loop.hpp>

#include <egretlatch/http/server.hpp>

using namespace egretlatch;
using namespace egretlatch::http;

namespace
{

[[nodiscard]] std::string get(const std::string &path, const std::string &fields = {})
{
    return "GET /" + path + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n";
}

[[nodiscard]] std::string post(const std::string &path)
{
    return "POST /" + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
}

/*! @brief Server that holds its requests until the test answers them, and one caller on a raw socket. */
class Exchange
{
public:
    explicit Exchange(ServerLimits limits = {})
        : m_server{m_poller,
                   m_clock,
                   [this](const ExchangeId exchange, const Request &request, SteadyTime /*readAt*/) {
                       started.push_back(request.target.substr(1));
                       m_exchanges[request.target.substr(1)] = exchange;
                       if (answersAtOnce) {
                           answer(request.target.substr(1));
                       }
                   },
                   [this](const ExchangeId exchange) {
                       for (const auto &[path, number] : m_exchanges) {
                           if (number == exchange) {
                               abandoned.push_back(path);
                           }
                       }
                   }}
    {
        m_server.setLimits(limits);
        m_server.setOverlapRule([](const Request &request) {
            return request.method == "GET";
        });
        listenOnFreePort();
        m_caller = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = addressOf(m_port);
        REQUIRE(::connect(m_caller, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
    }

    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    ~Exchange()
    {
        leave();
    }

    void send(const std::string &bytes) const
    {
        REQUIRE(::send(m_caller, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }

    void answer(const std::string &path, const qsizetype bytes = 0)
    {
        Response response = bareResponse(200);
        response.body = QByteArray::fromStdString(path) + QByteArray(bytes, '.');
        m_server.answer(m_exchanges.at(path), response);
    }

    void leave()
    {
        if (m_caller >= 0) {
            ::close(m_caller);
            m_caller = -1;
        }
    }

    [[nodiscard]] Server &server() noexcept
    {
        return m_server;
    }

    /*! @brief Waits until the given number of requests has been started. */
    [[nodiscard]] bool waitForStarted(const std::size_t count)
    {
        return fakes::runUntil([this, count] {
            return started.size() >= count;
        });
    }

    /*! @brief Runs a few iterations of the event loop, so that the server processes everything it has received. */
    void settle()
    {
        int turns = 0;
        REQUIRE(fakes::runUntil([&turns] {
            return ++turns > 10;
        }));
    }

    /*! @brief Waits for the given number of answers or for the end; returns their bodies, or their statuses other than 200. */
    [[nodiscard]] std::vector<std::string> receive(const std::size_t count)
    {
        std::vector<std::string> received;
        ResponseReader reader{{}};
        REQUIRE(fakes::runUntil([&] {
            char buffer[65536];
            const ssize_t size = ::recv(m_caller, buffer, sizeof buffer, MSG_DONTWAIT);
            if (size == 0) {
                received.emplace_back("end");
                return true;
            }
            reader.feed(QByteArray{buffer, static_cast<qsizetype>(std::max<ssize_t>(size, 0))});
            while (reader.state() == ReadState::complete) {
                const Response response = reader.take();
                received.push_back(response.status == 200 ? response.body.toStdString() : std::to_string(response.status));
                received.back() += response.keepsConnection ? "" : " closes";
                reader.feed({});
            }
            return received.size() >= count;
        }));
        return received;
    }

    std::vector<std::string> started;
    std::vector<std::string> abandoned;
    bool answersAtOnce{};

private:
    [[nodiscard]] static sockaddr_in addressOf(const std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    void listenOnFreePort()
    {
        const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = addressOf(0);
        REQUIRE(::bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
        socklen_t size = sizeof address;
        ::getsockname(probe, reinterpret_cast<sockaddr *>(&address), &size);
        ::close(probe);
        m_port = ntohs(address.sin_port);
        REQUIRE(m_server.listen({.address = "127.0.0.1", .port = m_port}).has_value());
    }

    struct Application
    {
        Application()
        {
            fakes::ensureApplication();
        }
    };

    Application m_application;
    SystemClock m_clock;
    net::Poller m_poller;
    std::map<std::string, ExchangeId> m_exchanges;
    Server m_server;
    std::uint16_t m_port{};
    int m_caller{-1};
};

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("requests behind a slow one run concurrently with it and are answered in order")
{
    // Guards against a request of half a second taking a whole one: it was sent behind another on the same connection, and
    // would be started only after that one's answer was sent.
    Exchange exchange;
    exchange.send(get("1") + get("2") + get("3"));
    REQUIRE(exchange.waitForStarted(3));
    exchange.answer("3");
    exchange.answer("2");
    exchange.settle();
    exchange.answer("1");
    CHECK(exchange.receive(3) == Names{"1", "2", "3"});
}

TEST_CASE("a request that must not be repeated waits for earlier ones, and later ones wait for it")
{
    Exchange exchange;
    exchange.send(get("1") + post("2") + get("3"));
    exchange.settle();
    CHECK(exchange.started == Names{"1"});
    exchange.answer("1");
    REQUIRE(exchange.waitForStarted(2));
    exchange.settle();
    CHECK(exchange.started == Names{"1", "2"});
    exchange.answer("2");
    REQUIRE(exchange.waitForStarted(3));
    exchange.answer("3");
    CHECK(exchange.receive(3) == Names{"1", "2", "3"});
}

TEST_CASE("requests behind one that closes the connection are not started")
{
    Exchange exchange;
    exchange.send(get("1") + get("2", "Connection: close\r\n") + get("3"));
    REQUIRE(exchange.waitForStarted(2));
    exchange.settle();
    CHECK(exchange.started == Names{"1", "2"});
    exchange.answer("2");
    exchange.answer("1");
    CHECK(exchange.receive(3) == Names{"1", "2 closes", "end"});
}

TEST_CASE("a malformed request behind valid ones is rejected after they have been answered")
{
    Exchange exchange;
    exchange.send(get("1") + get("2") + get("3") + "no request\r\n\r\n" + get("5"));
    REQUIRE(exchange.waitForStarted(3));
    for (const char *const path : {"2", "3", "1"}) {
        exchange.answer(path);
    }
    CHECK(exchange.receive(5) == Names{"1", "2", "3", "400 closes", "end"});
    CHECK(exchange.started.size() == 3);
}

TEST_CASE("a caller that disconnects is reported for each of its unanswered requests")
{
    Exchange exchange;
    exchange.send(get("1") + get("2") + get("3") + get("4") + get("5"));
    REQUIRE(exchange.waitForStarted(5));
    exchange.answer("2");
    exchange.leave();
    REQUIRE(fakes::runUntil([&exchange] {
        return exchange.abandoned.size() == 4;
    }));
    CHECK(exchange.abandoned == Names{"1", "3", "4", "5"});
}

TEST_CASE("a caller that disconnects while its unread requests exceed the read-ahead limit is noticed")
{
    // Guards against servers working for a caller that has disconnected: its connection is not read any more, since too many
    // bytes wait on it.
    Exchange exchange{{.read = {}, .headerTimeout = std::chrono::seconds{5}, .idleTimeout = std::chrono::seconds{30}, .pipeline = {.requests = 2}}};
    // More than the read-ahead limit, but little enough for the kernel to buffer it all, including the end of the connection.
    std::string many;
    while (many.size() < 120'000) {
        many += get("n");
    }
    exchange.send(get("1") + get("2"));
    REQUIRE(exchange.waitForStarted(2));
    exchange.send(many);
    exchange.settle();
    CHECK(exchange.started.size() == 2);
    exchange.leave();
    CHECK(fakes::runUntil([&exchange] {
        return exchange.abandoned.size() == 2;
    }));
}

TEST_CASE("a retiring connection answers the requests in progress in order, then closes")
{
    Exchange exchange;
    exchange.send(get("1") + get("2") + get("3"));
    REQUIRE(exchange.waitForStarted(3));
    exchange.server().retire();
    exchange.send(get("4"));
    exchange.settle();
    CHECK(exchange.started.size() == 3);
    exchange.answer("1");
    exchange.answer("3");
    exchange.answer("2");
    CHECK(exchange.receive(4) == Names{"1", "2", "3 closes", "end"});
    CHECK(exchange.abandoned.empty());
}

TEST_CASE("a connection retired while idle answers the next batch of requests and closes with the last")
{
    Exchange exchange;
    exchange.answersAtOnce = true;
    exchange.send(get("0"));
    CHECK(exchange.receive(1) == Names{"0"});
    exchange.server().retire();
    exchange.send(get("1") + get("2") + get("3"));
    CHECK(exchange.receive(4) == Names{"1", "2", "3 closes", "end"});
}

TEST_CASE("requests in progress are limited per connection, and the next ones start as answers are sent")
{
    Exchange exchange{{.read = {}, .headerTimeout = std::chrono::seconds{5}, .idleTimeout = std::chrono::seconds{30}, .pipeline = {.requests = 4}}};
    std::string all;
    Names names;
    for (int number = 0; number < 12; ++number) {
        names.push_back(std::to_string(number));
        all += get(names.back());
    }
    exchange.send(all);
    REQUIRE(exchange.waitForStarted(4));
    exchange.settle();
    for (std::size_t number = 0; number < names.size(); ++number) {
        CHECK(exchange.started.size() == std::min<std::size_t>(names.size(), number + 4));
        exchange.answer(names[number]);
    }
    CHECK(exchange.receive(names.size()) == names);
}

TEST_CASE("backpressure stops the requests of a caller that does not read its answers")
{
    // Guards against a daemon growing until it runs out of memory: a caller keeps sending requests and reads none of the
    // answers.
    Exchange exchange{
        {.read = {}, .headerTimeout = std::chrono::seconds{5}, .idleTimeout = std::chrono::seconds{30}, .pipeline = {.requests = 4, .bytes = 100'000}}};
    std::string all;
    for (int number = 0; number < 2000; ++number) {
        all += get(std::to_string(number), "X-Filler: " + std::string(60, 'x') + "\r\n");
    }
    exchange.send(all.substr(0, all.find("GET /4 ")));
    REQUIRE(exchange.waitForStarted(4));
    for (const std::string &path : Names{"0", "1", "2", "3"}) {
        exchange.answer(path, 8'000'000);
    }
    exchange.answersAtOnce = true;
    exchange.send(all.substr(all.find("GET /4 ")));
    exchange.settle();
    CHECK(exchange.started.size() == 4);
    CHECK(exchange.receive(2000).size() == 2000);
}

TEST_CASE("for any mix of requests and order of answers each request gets its own answer, in order, and non-repeatable ones run alone")
{
    CHECK(rc::check([](const std::vector<bool> &kinds, const std::vector<std::uint8_t> &order) {
        Exchange exchange;
        std::string bytes;
        Names names;
        for (std::size_t number = 0; number < std::min<std::size_t>(kinds.size(), 24); ++number) {
            names.push_back(std::to_string(number));
            bytes += kinds[number] ? post(names.back()) : get(names.back());
        }
        exchange.send(bytes);
        std::size_t answered = 0;
        std::size_t step = 0;
        std::vector<std::string> open;
        while (answered < names.size()) {
            RC_ASSERT(exchange.waitForStarted(answered + open.size() + (open.empty() ? 1 : 0)));
            exchange.settle();
            while (answered + open.size() < exchange.started.size()) {
                open.push_back(exchange.started[answered + open.size()]);
            }
            const bool hasExclusive = std::any_of(open.begin(), open.end(), [&kinds](const std::string &name) {
                return kinds[std::stoul(name)];
            });
            RC_ASSERT(!hasExclusive || open.size() == 1);
            const std::size_t which = order.empty() ? 0 : order[step++ % order.size()] % open.size();
            exchange.answer(open[which]);
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(which));
            ++answered;
        }
        RC_ASSERT(names.empty() || exchange.receive(names.size()) == names);
    }));
}
