#include <doctest/doctest.h>

#include <array>

#include <poll.h>

#include <QTcpServer>

#include <fakes/loopback.hpp>

#include <egretlatch/account/metrics_registry.hpp>
#include <egretlatch/peer/peer_exchange.hpp>

using namespace egretlatch;
using namespace egretlatch::peer;
using fakes::freeEndpoint;

namespace
{

// Prevents a failing test from hanging.
constexpr int pollTimeoutMs = 30'000;

// Daemon that answers each request at once and sends the next request on each answer.
struct Daemon
{
    explicit Daemon(const std::string &id)
        : exchange{{id},
                   {1},
                   std::nullopt,
                   [this](const decision::Event &event) {
                       handleMessage(std::get<decision::PeerMessage>(event).envelope);
                   },
                   metrics}
        , endpoint{freeEndpoint()}
    {
        REQUIRE(exchange.start(endpoint).has_value());
        // The first call reads all sockets; a later one does so only after a second.
        exchange.processSockets();
    }

    void request(const std::string &to, const std::string &at)
    {
        protocol::CallRequest request;
        request.call = {++requests};
        request.root = *Uuid::fromBytes(std::string(16, 'r'));
        exchange.send({.to = {to}, .endpoint = at, .message = request});
    }

    void handleMessage(const protocol::Envelope &envelope)
    {
        if (const auto *const request = std::get_if<protocol::CallRequest>(&envelope.message)) {
            protocol::CallAnswer answer;
            answer.call = request->call;
            answer.receiver = envelope.incarnation;
            answer.verdict = Verdict::completed;
            exchange.send({.to = envelope.sender, .endpoint = {}, .message = answer});
            return;
        }
        ++answers;
        if (requests < 300) {
            this->request(envelope.sender.value, other);
        }
    }

    account::MetricsRegistry metrics;
    PeerExchange exchange;
    std::string endpoint;
    std::string other;
    std::uint64_t requests{};
    int answers{};
};

// Processes the exchanges whose descriptors are readable. Everything received must be signalled, not found by a later read.
[[nodiscard]] bool processOnce(Daemon &one, Daemon &two)
{
    std::array<pollfd, 2> watched{
        {{.fd = one.exchange.descriptor(), .events = POLLIN, .revents = 0}, {.fd = two.exchange.descriptor(), .events = POLLIN, .revents = 0}}};
    if (::poll(watched.data(), watched.size(), pollTimeoutMs) <= 0) {
        return false;
    }
    if (watched[0].revents != 0) {
        one.exchange.processSockets();
    }
    if (watched[1].revents != 0) {
        two.exchange.processSockets();
    }
    return true;
}

} // namespace

TEST_CASE("each received message makes the descriptor readable, or is read by processPending() after a send")
{
    // Guards against a delay of up to a second for the first requests on a new link: the ZeroMQ events of the link stayed
    // unread until the next pass over all sockets, as its descriptor never signalled them.
    Daemon one{"one"};
    Daemon two{"two"};
    one.other = two.endpoint;
    two.other = one.endpoint;
    one.request("two", two.endpoint);
    two.request("one", one.endpoint);
    one.exchange.processPending();
    two.exchange.processPending();

    while (one.answers < 300 || two.answers < 300) {
        REQUIRE(processOnce(one, two));
    }

    CHECK(one.answers == 300);
    CHECK(two.answers == 300);
}
