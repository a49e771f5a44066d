#include <egretlatch/http/client_pool.hpp>

#include <algorithm>
#include <utility>

namespace egretlatch::http
{

ClientPool::ClientPool(net::Poller &poller, const Clock &clock, net::Endpoint endpoint, const ReadLimits &limits)
    : m_poller{poller}
    , m_clock{clock}
    , m_endpoint{std::move(endpoint)}
    , m_limits{limits}
{
}

ClientRequestId ClientPool::send(OutgoingRequest outgoing)
{
    const ClientRequestId id{++m_lastRequest};
    outgoing.onResult = [this, id, onResult = std::move(outgoing.onResult)](Outcome result) {
        m_inFlight.erase(id.value);
        onResult(std::move(result));
    };
    if (ClientConnection *const idle = takeIdle()) {
        m_inFlight.emplace(id.value, idle);
        idle->send(std::move(outgoing));
        return id;
    }
    auto connection = std::make_unique<ClientConnection>(m_poller, *this, m_clock, m_limits);
    ClientConnection *const key = connection.get();
    m_connections.emplace(key, std::move(connection));
    m_inFlight.emplace(id.value, key);
    key->open(m_endpoint, std::move(outgoing));
    return id;
}

void ClientPool::probe(std::function<void(bool)> onResult)
{
    if (m_probe != nullptr) {
        return;
    }
    auto connection = std::make_unique<ClientConnection>(m_poller, *this, m_clock, m_limits);
    ClientConnection *const key = connection.get();
    m_connections.emplace(key, std::move(connection));
    m_probe = key;
    m_onProbed = std::move(onResult);
    key->openIdle(m_endpoint);
}

void ClientPool::endProbe(const ClientConnection &connection, const bool isConnected)
{
    if (m_probe != &connection) {
        return;
    }
    m_probe = nullptr;
    const std::function<void(bool)> onProbed = std::exchange(m_onProbed, {});
    onProbed(isConnected);
}

void ClientPool::cancel(const ClientRequestId id)
{
    const auto found = m_inFlight.find(id.value);
    if (found == m_inFlight.end()) {
        return;
    }
    ClientConnection *const connection = found->second;
    m_inFlight.erase(found);
    connection->cancel();
}

void ClientPool::closeIdle()
{
    const std::vector<ClientConnection *> idle = m_idle;
    for (ClientConnection *const connection : idle) {
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
        connection->checkTimeouts();
    }
    m_budget.resume();
    m_closed.clear();
}

void ClientPool::limitAnswers(const qsizetype limit, std::function<qsizetype()> waitingBytes, std::function<void(qsizetype)> onPaused)
{
    m_budget.setLimits({
        .bytes = limit,
        .completeBytes = static_cast<qsizetype>(m_limits.bodyBytes),
        .complete = std::move(waitingBytes),
        .onPaused = std::move(onPaused),
    });
}

void ClientPool::onPartReceived(ClientConnection &connection)
{
    m_budget.noteReceived(connection);
}

ClientConnection *ClientPool::takeIdle()
{
    const SteadyTime now = m_clock.steadyNow();
    while (!m_idle.empty()) {
        ClientConnection *const connection = m_idle.back();
        m_idle.pop_back();
        if (now < connection->idleUntil()) {
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

void ClientPool::onIdle(ClientConnection &connection)
{
    m_idle.push_back(&connection);
    m_budget.noteEnded(connection);
    endProbe(connection, true);
}

void ClientPool::onClosed(ClientConnection &connection)
{
    std::erase(m_idle, &connection);
    endProbe(connection, false);
    const auto found = m_connections.find(&connection);
    if (found != m_connections.end()) {
        m_closed.push_back(std::move(found->second));
        m_connections.erase(found);
    }
    m_budget.noteEnded(connection);
}

} // namespace egretlatch::http
