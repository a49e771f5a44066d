#include <doctest/doctest.h>

#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fakes/counting_metrics.hpp>
#include <fakes/event_loop.hpp>
#include <fakes/loopback.hpp>

#include <egretlatch/http/client_pool.hpp>
#include <egretlatch/http/server.hpp>
#include <egretlatch/net/tcp_stream.hpp>
#include <egretlatch/peer/stream_exchange.hpp>

using namespace egretlatch;

namespace
{

[[nodiscard]] net::Endpoint freeTcpEndpoint()
{
    constexpr std::size_t schemeSize = 6;
    return *net::Endpoint::parse(fakes::freeEndpoint().substr(schemeSize));
}

/*! @brief Event loop that notes the exceptions that leave handlers. */
struct Loop
{
    Loop()
    {
        fakes::ensureApplication();
        poller.emplace();
        poller->setExceptionReporter([this](int /*descriptor*/, const std::string_view reason) {
            exceptions.emplace_back(reason);
        });
    }

    std::optional<net::Poller> poller;
    SystemClock clock;
    std::vector<std::string> exceptions;
};

/*! @brief HTTP server whose handler throws for the path `/throw` and answers 200 for others. */
struct ThrowingServer
{
    explicit ThrowingServer(Loop &loop)
        : server{*loop.poller,
                 loop.clock,
                 [this](const ExchangeId exchange, const http::Request &request, SteadyTime /*readAt*/) {
                     if (request.target == "/throw") {
                         throw std::runtime_error{"handler"};
                     }
                     server.answer(exchange, http::bareResponse(200));
                 },
                 [](ExchangeId /*exchange*/) {}}
    {
        REQUIRE(server.listen(endpoint).has_value());
    }

    net::Endpoint endpoint{freeTcpEndpoint()};
    http::Server server;
};

/*! @brief Pool of connections to a server, with the outcomes of its requests. */
struct Caller
{
    Caller(Loop &loop, const net::Endpoint &endpoint)
        : clock{loop.clock}
        , pool{*loop.poller, loop.clock, endpoint, {}}
    {
    }

    void send(const std::string &target, const bool throws = false)
    {
        http::OutgoingRequest outgoing;
        outgoing.bytes = http::encode(http::Request{.method = "GET", .target = target, .headers = {{.name = "Host", .value = "x"}}, .body = {}});
        outgoing.pair = [](const http::Response & /*response*/) {
            return http::AnswerPairing::own;
        };
        outgoing.deadline = clock.steadyNow() + std::chrono::seconds{20};
        outgoing.onResult = [this, throws](http::Outcome outcome) {
            outcomes.push_back(std::move(outcome));
            if (throws) {
                throw std::length_error{"result"};
            }
        };
        pool.send(std::move(outgoing));
    }

    [[nodiscard]] bool waitFor(const std::size_t count)
    {
        return fakes::runUntil([this, count] {
            return outcomes.size() >= count;
        });
    }

    [[nodiscard]] bool isAnswered(const std::size_t index) const
    {
        return std::holds_alternative<http::Response>(outcomes.at(index));
    }

    const Clock &clock;
    std::vector<http::Outcome> outcomes;
    http::ClientPool pool;
};

} // namespace

TEST_CASE("an exception of a request handler ends the connection of its caller, and no other")
{
    // Guards against a request that ends the process, with the requests of all other callers.
    Loop loop;
    ThrowingServer server{loop};
    Caller well{loop, server.endpoint};
    well.send("/");
    REQUIRE(well.waitFor(1));
    Caller bad{loop, server.endpoint};
    bad.send("/throw");
    REQUIRE(bad.waitFor(1));
    CHECK_FALSE(bad.isAnswered(0));
    CHECK(loop.exceptions == std::vector<std::string>{"handler"});
    well.send("/");
    REQUIRE(well.waitFor(2));
    CHECK(well.isAnswered(1));
}

TEST_CASE("an exception for a request behind another ends its connection after a thrown answer, and no other")
{
    Loop loop;
    std::vector<ExchangeId> open;
    const net::Endpoint endpoint = freeTcpEndpoint();
    http::Server server{*loop.poller,
                        loop.clock,
                        [&open](const ExchangeId exchange, const http::Request &request, SteadyTime /*readAt*/) {
                            if (request.target == "/throw") {
                                throw std::runtime_error{"handler"};
                            }
                            open.push_back(exchange);
                        },
                        [](ExchangeId /*exchange*/) {}};
    REQUIRE(server.listen(endpoint).has_value());
    const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(caller, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
    const std::string requests = "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET /throw HTTP/1.1\r\nHost: x\r\n\r\n";
    REQUIRE(::send(caller, requests.data(), requests.size(), 0) == static_cast<ssize_t>(requests.size()));
    REQUIRE(fakes::runUntil([&open] {
        return open.size() == 1;
    }));
    CHECK_THROWS_AS(server.answer(open.front(), http::bareResponse(200)), std::runtime_error);
    CHECK_FALSE(server.owesAnswers());
    ::close(caller);
}

TEST_CASE("an exception in the handling of an answer ends that connection of the pool, and later requests are answered")
{
    // The store's client and the backend server's are such pools.
    Loop loop;
    ThrowingServer server{loop};
    Caller caller{loop, server.endpoint};
    caller.send("/", true);
    REQUIRE(caller.waitFor(1));
    caller.send("/");
    REQUIRE(caller.waitFor(2));
    CHECK(caller.isAnswered(1));
    CHECK(loop.exceptions == std::vector<std::string>{"result"});
}

TEST_CASE("an exception in the handling of a daemon's message ends the link to it, and the next message opens another")
{
    Loop loop;
    fakes::CountingMetrics metrics;
    int received = 0;
    const net::Endpoint endpoint = freeTcpEndpoint();
    peer::StreamExchange receiver{*loop.poller,
                                  loop.clock,
                                  {"receiver"},
                                  {1},
                                  [&received](const decision::Event &event) {
                                      if (std::holds_alternative<decision::PeerMessage>(event) && ++received == 1) {
                                          throw std::out_of_range{"message"};
                                      }
                                  },
                                  metrics};
    REQUIRE(receiver.start(endpoint).has_value());
    bool isLost = false;
    peer::StreamExchange sender{*loop.poller,
                                loop.clock,
                                {"sender"},
                                {1},
                                [&isLost](const decision::Event &event) {
                                    isLost = isLost || std::holds_alternative<decision::PeerLost>(event);
                                },
                                metrics};
    const decision::SendToPeer message{.to = {"receiver"}, .endpoint = "tcp://" + endpoint.text(), .message = protocol::Gossip{}};
    sender.send(message);
    REQUIRE(fakes::runUntil([&isLost] {
        return isLost;
    }));
    CHECK(loop.exceptions == std::vector<std::string>{"message"});
    sender.send(message);
    CHECK(fakes::runUntil([&received] {
        return received == 2;
    }));
}

TEST_CASE("an exception in the handling of a lost link or of a reply ends that link only")
{
    Loop loop;
    fakes::CountingMetrics metrics;
    const net::Endpoint endpoint = freeTcpEndpoint();
    peer::StreamExchange receiver{*loop.poller, loop.clock, {"receiver"}, {1}, [](const decision::Event & /*event*/) {}, metrics};
    int failed = 0;
    peer::StreamExchange sender{*loop.poller,
                                loop.clock,
                                {"sender"},
                                {1},
                                [&failed](const decision::Event &event) {
                                    if (std::holds_alternative<decision::PeerLost>(event)) {
                                        ++failed;
                                        throw std::logic_error{"lost"};
                                    }
                                },
                                metrics};
    const decision::SendToPeer message{.to = {"receiver"}, .endpoint = "tcp://" + endpoint.text(), .message = protocol::Gossip{}};
    // Nothing listens yet, so the link ends.
    sender.send(message);
    REQUIRE(fakes::runUntil([&failed] {
        return failed == 1;
    }));
    CHECK(loop.exceptions == std::vector<std::string>{"lost"});
    REQUIRE(receiver.start(endpoint).has_value());
    sender.tick();
    sender.send(message);
    CHECK(loop.exceptions.size() == 1);
}
