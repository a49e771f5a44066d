#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include <poll.h>

#include <QHostAddress>
#include <QTcpSocket>

#include <egretlatch/peer/peer_link.hpp>

using namespace egretlatch;
using namespace egretlatch::peer;

namespace
{

// Keeps a failing test from hanging.
constexpr int waitLimitMs = 5000;

// Remote end of a link, with a context of its own; its destructor closes the connection.
struct RemoteEnd
{
    RemoteEnd()
    {
        router.set(zmq::sockopt::linger, 0);
        router.bind("tcp://127.0.0.1:*");
    }

    [[nodiscard]] LinkOptions options() const
    {
        return {.daemon = {"remote"}, .endpoint = router.get(zmq::sockopt::last_endpoint), .routingId = "local/1", .keys = std::nullopt, .serverKey = {}};
    }

    zmq::context_t context;
    zmq::socket_t router{context, zmq::socket_type::router};
};

// Can hold the I/O thread of a context: ZeroMQ waits for a reader when it reports an event of a monitored socket.
struct IoThreadHold
{
    explicit IoThreadHold(zmq::context_t &context)
        : socket{context, zmq::socket_type::router}
        , reader{context, zmq::socket_type::pair}
    {
        constexpr std::string_view foreignNetwork = "192.0.2.0/24";
        socket.set(zmq::sockopt::linger, 0);
        reader.set(zmq::sockopt::linger, 0);
        REQUIRE(zmq_setsockopt(socket.handle(), ZMQ_TCP_ACCEPT_FILTER, foreignNetwork.data(), foreignNetwork.size()) == 0);
        REQUIRE(zmq_socket_monitor(socket.handle(), "inproc://held", ZMQ_EVENT_ACCEPT_FAILED) == 0);
        socket.bind("tcp://127.0.0.1:*");
    }

    void hold()
    {
        const std::string endpoint = socket.get(zmq::sockopt::last_endpoint);
        QTcpSocket client;
        client.connectToHost(QHostAddress::LocalHost, static_cast<quint16>(std::stoi(endpoint.substr(endpoint.rfind(':') + 1))));
        // The I/O thread closes the refused connection and reports it in one step, so it handles nothing else in between.
        REQUIRE((client.state() == QAbstractSocket::UnconnectedState || client.waitForDisconnected(waitLimitMs)));
    }

    void release()
    {
        reader.connect("inproc://held");
    }

    zmq::socket_t socket;
    zmq::socket_t reader;
};

// Waits until ZeroMQ's reaper thread has handled the sockets that were closed before.
void waitForReaper(zmq::context_t &context)
{
    zmq::socket_t events{context, zmq::socket_type::pair};
    events.set(zmq::sockopt::linger, 0);
    events.set(zmq::sockopt::rcvtimeo, waitLimitMs);
    {
        zmq::socket_t last{context, zmq::socket_type::dealer};
        REQUIRE(zmq_socket_monitor(last.handle(), "inproc://last", ZMQ_EVENT_MONITOR_STOPPED) == 0);
        events.connect("inproc://last");
    }
    zmq::message_t event;
    REQUIRE(events.recv(event).has_value());
}

[[nodiscard]] bool becomes(PeerLink &link, const SocketWatch &watch, const LinkState state)
{
    const SteadyTime end = std::chrono::steady_clock::now() + std::chrono::milliseconds{waitLimitMs};
    zmq::message_t message;
    while (link.update() != state) {
        // Takes the signal of the message socket, which may come without a message.
        static_cast<void>(link.receive(message, end));
        pollfd watched{.fd = watch.descriptor(), .events = POLLIN, .revents = 0};
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
        if (left.count() <= 0 || ::poll(&watched, 1, static_cast<int>(left.count())) <= 0) {
            return link.update() == state;
        }
    }
    return true;
}

} // namespace

TEST_CASE("a link that is closed while its connection ends leaves the other links working")
{
    // Guards against a deaf daemon: ZeroMQ's I/O thread waited for ever for a reader of the closed link's events.
    zmq::context_t context;
    SocketWatch watch;
    auto ending = std::make_unique<RemoteEnd>();
    RemoteEnd other;
    IoThreadHold ioThread{context};
    auto link = std::make_unique<PeerLink>(context, watch, ending->options(), 1);
    REQUIRE(becomes(*link, watch, LinkState::open));

    ioThread.hold();
    // The I/O thread finds the end of the connection before the command to close the link, as it came first.
    ending.reset();
    link.reset();
    waitForReaper(context);
    // A ZeroMQ socket that is used again within 3,000,000 ticks of the processor does not notice yet that its peer is closed.
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
    ioThread.release();

    {
        PeerLink next{context, watch, other.options(), 2};
        CHECK(becomes(next, watch, LinkState::open));
    }
    // Lets the test end when the I/O thread waits.
    context.shutdown();
}
