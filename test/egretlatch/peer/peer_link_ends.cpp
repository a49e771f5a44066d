#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <string>
#include <vector>

#include <poll.h>
#include <sys/socket.h>

#include <QTcpServer>
#include <QTcpSocket>

#include <fmt/format.h>

#include <fakes/loopback.hpp>

#include <egretlatch/account/metrics_registry.hpp>
#include <egretlatch/peer/link_table.hpp>
#include <egretlatch/peer/peer_exchange.hpp>
#include <egretlatch/peer/peer_link.hpp>

using namespace egretlatch;
using namespace egretlatch::peer;
using fakes::freeEndpoint;
using fakes::waitFor;

namespace
{

constexpr int sliceMs = 20;

// Exchange that counts its events, and is processed only when the test says so.
struct LocalEnd
{
    LocalEnd(const std::string &id, std::optional<settings::PeerKeys> keys)
        : exchange{{id},
                   {1},
                   std::move(keys),
                   [this](const decision::Event &event) {
                       lost += std::holds_alternative<decision::PeerLost>(event) ? 1 : 0;
                       unsent += std::holds_alternative<decision::SendFailed>(event) ? 1 : 0;
                       received += std::holds_alternative<decision::PeerMessage>(event) ? 1 : 0;
                   },
                   metrics}
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
    }

    void processOnce()
    {
        pollfd watched{.fd = exchange.descriptor(), .events = POLLIN, .revents = 0};
        ::poll(&watched, 1, sliceMs);
        exchange.processSockets();
    }

    account::MetricsRegistry metrics;
    int lost{};
    int unsent{};
    int received{};
    std::uint64_t requests{};
    std::string endpoint{freeEndpoint()};
    PeerExchange exchange;
};

struct KeyPair
{
    KeyPair()
    {
        REQUIRE(zmq_curve_keypair(publicKey.data(), secretKey.data()) == 0);
    }

    std::array<char, 41> publicKey{};
    std::array<char, 41> secretKey{};
};

// Completes the remote side of a ZMTP handshake without encryption, ends the connection, and waits until ZeroMQ has closed it.
[[nodiscard]] bool openAndEnd(QTcpServer &server)
{
    constexpr int waitMs = 5000;
    if (!server.waitForNewConnection(waitMs)) {
        return false;
    }
    QTcpSocket &connection = *server.nextPendingConnection();
    QByteArray greeting(64, '\0');
    greeting.replace(0, 16, QByteArray{"\xff\0\0\0\0\0\0\0\0\x7f\x03\0NULL", 16});
    connection.write(greeting);
    connection.write(QByteArray{"\x04\x1c\x05READY\x0bSocket-Type\0\0\0\x06ROUTER", 30});
    QByteArray received;
    while (!received.contains("READY")) {
        if (!connection.waitForReadyRead(waitMs)) {
            return false;
        }
        received += connection.readAll();
    }
    // ZeroMQ reports the end of the connection before it closes its descriptor.
    ::shutdown(static_cast<int>(connection.socketDescriptor()), SHUT_WR);
    return connection.state() == QAbstractSocket::UnconnectedState || connection.waitForDisconnected(waitMs);
}

} // namespace

TEST_CASE("a link whose connection cannot even be attempted fails")
{
    // Guards against requests that wait until their deadline: ZeroMQ reports no closed connection where none was begun, as
    // without free descriptors, with an unknown host name or, here, with a port out of range.
    zmq::context_t context;
    SocketWatch watch;
    PeerLink link{
        context, watch, {.daemon = {"remote"}, .endpoint = "tcp://127.0.0.1:65536", .routingId = "local/1", .keys = std::nullopt, .serverKey = {}}, 1};
    CHECK(waitFor([&link] {
        return link.update() == LinkState::failed;
    }));
}

TEST_CASE("a request that waited for a connection which opened and ended meanwhile is not sent")
{
    // Guards against a request that never left but is answered as one that may have run, after a pause of the sender.
    zmq::context_t context;
    SocketWatch watch;
    QTcpServer server;
    REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    PeerLink link{context,
                  watch,
                  {.daemon = {"remote"},
                   .endpoint = fmt::format("tcp://127.0.0.1:{}", server.serverPort()),
                   .routingId = "local/1",
                   .keys = std::nullopt,
                   .serverKey = {}},
                  1};
    REQUIRE(link.send({.bytes = "request", .call = CallId{1}}, {}));
    REQUIRE(openAndEnd(server));

    CHECK(link.update() == LinkState::lost);
    CHECK(link.takeUnsent().size() == 1);
    CHECK_FALSE(link.hasUnanswered());
}

TEST_CASE("requests that wait for a connection are all reported as unsent when no accepted key opens it")
{
    // Guards against requests that are never reported, as the connection with the next key ends while they are moved to it.
    constexpr int count = 900;
    constexpr int rounds = 5;
    const KeyPair own;
    const KeyPair other;
    for (int round = 0; round < rounds; ++round) {
        LocalEnd local{"local", settings::PeerKeys{own.publicKey.data(), own.secretKey.data(), {own.publicKey.data(), other.publicKey.data()}}};
        QTcpServer silent;
        REQUIRE(silent.listen(QHostAddress::LocalHost, 0));
        const std::string endpoint = fmt::format("tcp://127.0.0.1:{}", silent.serverPort());
        for (int request = 0; request < count; ++request) {
            local.request("remote", endpoint);
        }
        // The first connection ends, and the next one is refused.
        silent.close();
        REQUIRE(waitFor([&local] {
            local.processOnce();
            return local.lost == 1;
        }));
        CHECK(local.unsent == count);
    }
}

TEST_CASE("requests reach the present daemon of an address after a message to an earlier daemon of it")
{
    // Guards against calls that end as ones that may have run whenever a replaced daemon is pinged at the address of its successor.
    LocalEnd local{"local", std::nullopt};
    LocalEnd remote{"present", std::nullopt};
    const auto arrive = [&](const int count) {
        return waitFor([&] {
            local.processOnce();
            remote.processOnce();
            return remote.received >= count || local.lost > 0;
        });
    };
    local.request("present", remote.endpoint);
    REQUIRE(arrive(1));
    local.request("earlier", remote.endpoint);
    // Lets that message arrive, or be refused.
    for (int round = 0; round < 25; ++round) {
        local.processOnce();
        remote.processOnce();
    }
    const int before = remote.received;

    local.request("present", remote.endpoint);

    CHECK(arrive(before + 1));
    CHECK(remote.received == before + 1);
    CHECK(local.lost == 0);
}

TEST_CASE("a new address of a daemon ends no request unless the link to the old one has unanswered requests")
{
    // Guards against the first request to a daemon at its new address that is answered at once as one that may have run.
    zmq::context_t context;
    SocketWatch watch;
    LinkTable table{context, watch, "local/1", std::nullopt};
    REQUIRE(table.linkTo({"remote"}, "tcp://127.0.0.1:9") != nullptr);

    REQUIRE(table.linkTo({"remote"}, "tcp://127.0.0.2:9") != nullptr);

    const std::vector<EndedLink> ended = table.takeEnded();
    REQUIRE(ended.size() == 1);
    CHECK_FALSE(ended.front().wasOpen);
}
