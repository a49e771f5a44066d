#include <egretlatch/http/client_pool.hpp>

#include <algorithm>

namespace egretlatch::http
{

ClientPool::ClientPool(net::Poller &poller, const Clock &clock, net::Endpoint endpoint, const ReadLimits &limits)
    : m_poller{poller}
    , m_clock{clock}
    , m_endpoint{std::move(endpoint)}
    , m_limits{limits}
{
}

TicketId ClientPool::send(OutgoingRequest outgoing)
{
    const TicketId ticket{++m_lastTicket};
    outgoing.onResult = [this, ticket, onResult = std::move(outgoing.onResult)](Outcome result) {
        m_underWay.erase(ticket.value);
        onResult(std::move(result));
    };
    if (ClientConnection *const free = takeFree()) {
        m_underWay.emplace(ticket.value, free);
        free->send(std::move(outgoing));
        return ticket;
    }
    auto connection = std::make_unique<ClientConnection>(m_poller, *this, m_clock, m_limits);
    ClientConnection *const key = connection.get();
    m_connections.emplace(key, std::move(connection));
    m_underWay.emplace(ticket.value, key);
    key->open(m_endpoint, std::move(outgoing));
    return ticket;
}

void ClientPool::cancel(const TicketId ticket)
{
    const auto found = m_underWay.find(ticket.value);
    if (found == m_underWay.end()) {
        return;
    }
    ClientConnection *const connection = found->second;
    m_underWay.erase(found);
    connection->cancel();
}

void ClientPool::closeFree()
{
    const std::vector<ClientConnection *> free = m_free;
    for (ClientConnection *const connection : free) {
        connection->close();
    }
}

void ClientPool::tick()
{
    std::vector<ClientConnection *> all;
    all.reserve(m_connections.size());
    for (const auto &[key, connection] : m_connections) {
        all.push_back(key);
    }
    for (ClientConnection *const connection : all) {
        connection->checkTimes();
    }
    m_over.clear();
}

ClientConnection *ClientPool::takeFree()
{
    const SteadyTime now = m_clock.steadyNow();
    while (!m_free.empty()) {
        ClientConnection *const connection = m_free.back();
        m_free.pop_back();
        if (now < connection->freeUntil()) {
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

void ClientPool::onFree(ClientConnection &connection)
{
    m_free.push_back(&connection);
}

void ClientPool::onClosed(ClientConnection &connection)
{
    std::erase(m_free, &connection);
    const auto found = m_connections.find(&connection);
    if (found != m_connections.end()) {
        m_over.push_back(std::move(found->second));
        m_connections.erase(found);
    }
}

} // namespace egretlatch::http
