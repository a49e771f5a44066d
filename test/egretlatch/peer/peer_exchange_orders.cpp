#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <poll.h>
#include <sys/epoll.h>

#include <QTcpServer>
#include <QTcpSocket>

#include <fmt/format.h>

#include <fakes/loopback.hpp>

#include <egretlatch/account/metrics_registry.hpp>
#include <egretlatch/peer/peer_exchange.hpp>
#include <egretlatch/protocol/codec.hpp>

using namespace egretlatch;
using namespace egretlatch::peer;
using fakes::freeEndpoint;
using fakes::waitFor;

namespace
{

constexpr int sliceMs = 20;
// Time for a sender to write everything before it closes its connection; keeps a failing test from hanging.
constexpr int senderLingerMs = 5000;

// Runs a given function at each count.
struct HookedMetrics : account::MetricsSink
{
    void count(const std::string_view name, const std::string_view label) override
    {
        if (hook) {
            hook(name, label);
        }
    }

    void observe(std::string_view /*name*/, std::string_view /*label*/, Duration /*value*/) override
    {
    }
    void set(std::string_view /*name*/, double /*value*/) override
    {
    }

    std::function<void(std::string_view, std::string_view)> hook;
};

// Exchange that keeps its events, and is processed only when the test says so.
struct LocalEnd
{
    LocalEnd()
    {
        REQUIRE(exchange.start(endpoint).has_value());
        exchange.processSockets();
    }

    void request(const std::string &to, const std::string &at)
    {
        protocol::CallRequest request;
        request.call = {++requests};
        request.root = *Uuid::fromBytes(std::string(16, 'r'));
        exchange.send({.to = {to}, .endpoint = at, .message = request});
        exchange.processPending();
    }

    void processOnce()
    {
        pollfd watched{.fd = exchange.descriptor(), .events = POLLIN, .revents = 0};
        ::poll(&watched, 1, sliceMs);
        exchange.processSockets();
    }

    // Tells whether a socket of a link is signalled, without taking the signal.
    [[nodiscard]] bool isSignalled(const std::string &daemon, const bool isMonitor) const
    {
        std::array<epoll_event, 64> events{};
        const int count = ::epoll_wait(exchange.descriptor(), events.data(), static_cast<int>(events.size()), 0);
        for (int index = 0; index < count; ++index) {
            const auto *const source = static_cast<const SocketSource *>(events.at(static_cast<std::size_t>(index)).data.ptr);
            if (source->daemon == DaemonId{daemon} && source->isMonitor == isMonitor) {
                return true;
            }
        }
        return false;
    }

    HookedMetrics metrics;
    int answers{};
    int answersAfterLoss{};
    int lost{};
    int unsent{};
    std::uint64_t lastRequest{};
    int receivedRequests{};
    std::uint64_t requests{};
    std::string endpoint{freeEndpoint()};
    PeerExchange exchange{{"local"},
                          {1},
                          std::nullopt,
                          [this](const decision::Event &event) {
                              if (std::holds_alternative<decision::PeerLost>(event)) {
                                  ++lost;
                              } else if (std::holds_alternative<decision::SendFailed>(event)) {
                                  ++unsent;
                              } else if (const auto *const message = std::get_if<decision::PeerMessage>(&event)) {
                                  const bool isAnswer = std::holds_alternative<protocol::CallAnswer>(message->envelope.message);
                                  answers += isAnswer ? 1 : 0;
                                  answersAfterLoss += isAnswer && lost > 0 ? 1 : 0;
                                  receivedRequests += isAnswer ? 0 : 1;
                                  if (const auto *const request = std::get_if<protocol::CallRequest>(&message->envelope.message)) {
                                      lastRequest = request->call.value;
                                  }
                              }
                          },
                          metrics};
};

// Remote end of a link, whose messages the test writes itself.
struct RemoteEnd
{
    explicit RemoteEnd(std::string daemon)
        : id{std::move(daemon)}
    {
        router.bind("tcp://127.0.0.1:*");
        endpoint = router.get(zmq::sockopt::last_endpoint);
    }

    // Receives a request, and keeps the routing id of its sender.
    [[nodiscard]] bool receive(LocalEnd &local)
    {
        return waitFor([this, &local] {
            zmq::message_t first;
            if (!router.recv(first, zmq::recv_flags::dontwait).has_value()) {
                local.processOnce();
                return false;
            }
            requester = first.to_string();
            zmq::message_t second;
            return router.recv(second).has_value();
        });
    }

    void send(const std::string_view bytes)
    {
        router.send(zmq::buffer(requester), zmq::send_flags::sndmore);
        router.send(zmq::buffer(bytes), zmq::send_flags::none);
    }

    void answer(const std::uint64_t call)
    {
        protocol::CallAnswer message;
        message.call = {call};
        message.receiver = {1};
        message.verdict = Verdict::completed;
        send(protocol::encode({.sender = {id}, .incarnation = {1}, .message = message}));
    }

    // Closes the connection once all that was sent has been written to it.
    void end()
    {
        router.close();
        context.close();
    }

    std::string id;
    zmq::context_t context;
    zmq::socket_t router{context, zmq::socket_type::router};
    std::string endpoint;
    std::string requester;
};

} // namespace

TEST_CASE("an answer that arrived before its connection ended is reported, and before the loss")
{
    // Guards against the loss of an answer: without reconnection ZeroMQ ends the pipe of a lost connection with what is in it.
    constexpr int rounds = 10;
    int answered = 0;
    int late = 0;
    for (int round = 0; round < rounds; ++round) {
        LocalEnd local;
        RemoteEnd remote{"remote"};
        local.request("remote", remote.endpoint);
        REQUIRE(remote.receive(local));
        local.exchange.processSockets();

        remote.answer(1);
        REQUIRE(waitFor([&local] {
            return local.isSignalled("remote", false);
        }));
        remote.end();
        REQUIRE(waitFor([&local] {
            return local.isSignalled("remote", true);
        }));
        REQUIRE(waitFor([&local] {
            local.processOnce();
            return local.lost == 1;
        }));

        answered += local.answers;
        late += local.answersAfterLoss;
    }
    CHECK(answered == rounds);
    CHECK(late == 0);
}

TEST_CASE("a request is reported as unsent if ZeroMQ has reported the end of its connection before")
{
    // Guards against a request that could be sent elsewhere but is answered as one that may have run.
    LocalEnd local;
    RemoteEnd remote{"remote"};
    local.request("remote", remote.endpoint);
    REQUIRE(remote.receive(local));
    local.exchange.processSockets();
    remote.end();
    REQUIRE(waitFor([&local] {
        return local.isSignalled("remote", true);
    }));

    local.request("remote", remote.endpoint);

    CHECK(local.unsent == 1);
}

TEST_CASE("all answers that arrived before their connection ended are reported, also more than are read at a time")
{
    // Guards against the loss of the answers beyond the first batch, as a link is closed when its end is seen.
    constexpr int count = 200;
    LocalEnd local;
    RemoteEnd remote{"remote"};
    for (int request = 0; request < count; ++request) {
        local.request("remote", remote.endpoint);
        REQUIRE(remote.receive(local));
    }
    local.exchange.processSockets();

    for (int call = 1; call <= count; ++call) {
        remote.answer(static_cast<std::uint64_t>(call));
    }
    remote.end();
    REQUIRE(waitFor([&local] {
        return local.isSignalled("remote", true);
    }));
    REQUIRE(waitFor([&local] {
        local.processOnce();
        return local.lost == 1;
    }));

    CHECK(local.answers == count);
    CHECK(local.answersAfterLoss == 0);
}

TEST_CASE("an answer that arrives together with the end of its connection while another link is read is reported")
{
    // Guards against the loss of an answer that arrives after its link is read and before the end of the link is seen.
    LocalEnd local;
    RemoteEnd first{"first"};
    RemoteEnd second{"second"};
    local.request("first", first.endpoint);
    REQUIRE(first.receive(local));
    local.request("second", second.endpoint);
    REQUIRE(second.receive(local));
    local.exchange.processSockets();

    // Links are read in the order of their names, and an unreadable message is counted in between.
    bool hasEnded = false;
    local.metrics.hook = [&](const std::string_view name, const std::string_view /*label*/) {
        if (name == "messages_dropped" && !hasEnded) {
            hasEnded = true;
            first.answer(1);
            first.end();
            CHECK(waitFor([&local] {
                return local.isSignalled("first", true);
            }));
        }
    };
    // The end of a third link makes the exchange read all links, and then close those that have ended.
    RemoteEnd third{"third"};
    local.request("third", third.endpoint);
    REQUIRE(third.receive(local));
    local.exchange.processSockets();
    third.end();
    REQUIRE(waitFor([&local] {
        return local.isSignalled("third", true);
    }));
    second.send("unreadable");
    REQUIRE(waitFor([&local] {
        return local.isSignalled("second", false);
    }));
    local.exchange.processSockets();
    REQUIRE(hasEnded);
    REQUIRE(waitFor([&local] {
        local.processOnce();
        return local.lost == 2;
    }));

    CHECK(local.answers == 1);
}

TEST_CASE("an answer that arrived before its daemon is given a new address is reported")
{
    // Guards against the loss of an answer: the link to the old address is closed without being read.
    LocalEnd local;
    RemoteEnd before{"remote"};
    RemoteEnd after{"remote"};
    local.request("remote", before.endpoint);
    REQUIRE(before.receive(local));
    local.exchange.processSockets();

    before.answer(1);
    REQUIRE(waitFor([&local] {
        return local.isSignalled("remote", false);
    }));
    local.request("remote", after.endpoint);
    REQUIRE(after.receive(local));

    CHECK(local.answers == 1);
    CHECK(local.answersAfterLoss == 0);
}

TEST_CASE("requests that arrived before their connection ended are reported")
{
    // Guards against the loss of requests whose sender ends its link before they are read.
    constexpr int count = 200;
    LocalEnd local;
    zmq::context_t context;
    zmq::socket_t sender{context, zmq::socket_type::dealer};
    sender.set(zmq::sockopt::routing_id, "sender/1");
    sender.set(zmq::sockopt::linger, senderLingerMs);
    sender.connect(local.endpoint);
    for (int call = 1; call <= count; ++call) {
        protocol::CallRequest request;
        request.call = {static_cast<std::uint64_t>(call)};
        request.root = *Uuid::fromBytes(std::string(16, 'r'));
        const std::string bytes = protocol::encode({.sender = {"sender"}, .incarnation = {1}, .message = request});
        sender.send(zmq::buffer(bytes), zmq::send_flags::none);
    }
    // Returns once everything is written and the connection is closed.
    sender.close();
    context.close();
    REQUIRE(waitFor([&local] {
        local.processOnce();
        return local.receivedRequests == count;
    }));
    CHECK(local.receivedRequests == count);
}

TEST_CASE("requests are reported as unsent if their connection never opens, and other links keep working")
{
    // Guards against requests that wait for ever, and against links that no longer open, after failed handshakes.
    constexpr int count = 40;
    bool isClosed = false;
    SUBCASE("the remote end accepts and never answers the handshake")
    {
    }
    SUBCASE("the remote end closes each connection")
    {
        isClosed = true;
    }
    LocalEnd local;
    std::array<QTcpServer, count> silent;
    for (QTcpServer &server : silent) {
        REQUIRE(server.listen(QHostAddress::LocalHost, 0));
        local.request(fmt::format("silent-{}", server.serverPort()), fmt::format("tcp://127.0.0.1:{}", server.serverPort()));
    }
    REQUIRE(waitFor([&] {
        for (QTcpServer &server : silent) {
            if (isClosed && server.waitForNewConnection(0)) {
                server.nextPendingConnection()->abort();
            }
        }
        local.processOnce();
        return local.unsent == count;
    }));
    CHECK(local.lost == count);

    RemoteEnd remote{"remote"};
    local.request("remote", remote.endpoint);
    CHECK(remote.receive(local));
}

TEST_CASE("a request is reported though earlier connections of its sender were replaced unread")
{
    // Guards against a daemon that no longer hears a peer that reconnected many times while nothing was read.
    constexpr int count = 50;
    LocalEnd local;
    zmq::context_t context;
    std::vector<zmq::socket_t> senders;
    const auto connectAndSend = [&](const std::uint64_t call) {
        zmq::socket_t &sender = senders.emplace_back(context, zmq::socket_type::dealer);
        sender.set(zmq::sockopt::routing_id, "sender/1");
        sender.set(zmq::sockopt::linger, senderLingerMs);
        sender.connect(local.endpoint);
        protocol::CallRequest request;
        request.call = {call};
        request.root = *Uuid::fromBytes(std::string(16, 'r'));
        const std::string bytes = protocol::encode({.sender = {"sender"}, .incarnation = {1}, .message = request});
        sender.send(zmq::buffer(bytes), zmq::send_flags::none);
    };
    for (int call = 1; call <= count; ++call) {
        connectAndSend(static_cast<std::uint64_t>(call));
        if (call % 2 == 0) {
            senders.clear();
        }
    }
    senders.clear();
    context.close();

    context = zmq::context_t{};
    connectAndSend(count + 1);
    CHECK(waitFor([&local] {
        local.processOnce();
        return local.lastRequest == count + 1;
    }));
    senders.back().set(zmq::sockopt::linger, 0);
}
