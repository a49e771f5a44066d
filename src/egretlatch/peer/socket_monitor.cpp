#include <egretlatch/peer/socket_monitor.hpp>

#include <cstring>

namespace egretlatch::peer
{

namespace internal
{

constexpr int unlimitedMessages = 0;

} // namespace internal

SocketMonitor::SocketMonitor(zmq::context_t &context, zmq::socket_t &socket, const int events, const std::string &endpoint)
    : m_socket{socket}
    , m_reader{context, zmq::socket_type::pair}
{
    // A limit of zero at either end removes the limit of an inproc pipe. It must be set before the connection is made.
    m_reader.set(zmq::sockopt::rcvhwm, internal::unlimitedMessages);
    m_reader.set(zmq::sockopt::linger, 0);
    if (zmq_socket_monitor(socket.handle(), endpoint.c_str(), events) != 0) {
        throw zmq::error_t{};
    }
    m_reader.connect(endpoint);
}

SocketMonitor::~SocketMonitor()
{
    // Fails only after the context was shut down, which has switched the events off already.
    zmq_socket_monitor(m_socket.handle(), nullptr, 0);
}

std::optional<std::uint16_t> SocketMonitor::next()
{
    zmq::message_t event;
    if (!m_reader.recv(event, zmq::recv_flags::dontwait).has_value()) {
        return std::nullopt;
    }
    std::uint16_t number = 0;
    std::memcpy(&number, event.data(), sizeof number);
    bool hasMore = event.more();
    while (hasMore) {
        zmq::message_t address;
        static_cast<void>(m_reader.recv(address, zmq::recv_flags::dontwait));
        hasMore = address.more();
    }
    return number;
}

} // namespace egretlatch::peer
