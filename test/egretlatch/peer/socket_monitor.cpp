#include <doctest/doctest.h>

#include <poll.h>

#include <QHostAddress>
#include <QTcpSocket>

#include <egretlatch/peer/socket_monitor.hpp>

using namespace egretlatch::peer;

namespace
{

// Keeps a failing test from hanging.
constexpr int waitLimitMs = 5000;

[[nodiscard]] quint16 portOf(const std::string &endpoint)
{
    return static_cast<quint16>(std::stoi(endpoint.substr(endpoint.rfind(':') + 1)));
}

} // namespace

TEST_CASE("connections work while thousands of events wait to be read")
{
    // Guards against a stall of all connections: ZeroMQ's I/O thread waits while the pipe for a socket's events is full.
    constexpr int connections = 2500;
    zmq::context_t context;
    zmq::socket_t monitored{context, zmq::socket_type::router};
    monitored.set(zmq::sockopt::linger, 0);
    SocketMonitor monitor{context, monitored, ZMQ_EVENT_ACCEPTED, "inproc://events"};
    monitored.bind("tcp://127.0.0.1:*");
    const quint16 port = portOf(monitored.get(zmq::sockopt::last_endpoint));
    bool areAllServed = true;
    for (int number = 0; number < connections && areAllServed; ++number) {
        QTcpSocket client;
        client.connectToHost(QHostAddress::LocalHost, port);
        // ZeroMQ's greeting shows that the I/O thread has accepted the connection and reported it.
        areAllServed = client.waitForConnected(waitLimitMs) && client.waitForReadyRead(waitLimitMs);
        client.abort();
    }
    CHECK(areAllServed);

    int events = 0;
    while (monitor.next().has_value()) {
        ++events;
    }
    CHECK(events == connections);
}
