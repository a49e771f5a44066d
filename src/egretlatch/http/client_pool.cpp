#include <egretlatch/http/client_pool.hpp>

#include <algorithm>
#include <utility>

namespace egretlatch::http
{

namespace internal
{

// An answer up to this size is never held up by long ones. All connections of a server together hold some dozen MiB at most so.
constexpr qsizetype shortAnswerBytes = qsizetype{128} * 1024;

} // namespace internal

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
    // The receivers of answers may have taken some.
    if (m_hasPaused) {
        resumeAnswers();
    }
    m_closed.clear();
}

void ClientPool::limitAnswers(const qsizetype limit, std::function<qsizetype()> waitingBytes, std::function<void(qsizetype)> onPaused)
{
    m_answerLimit = limit;
    m_waitingBytes = std::move(waitingBytes);
    m_onPaused = std::move(onPaused);
}

bool ClientPool::isOverLimit() const
{
    if (!m_answerLimit.has_value()) {
        return false;
    }
    qsizetype held = m_waitingBytes();
    for (const auto &[key, connection] : m_connections) {
        held += key == m_preferred ? 0 : key->heldBytes();
    }
    return held > *m_answerLimit;
}

bool ClientPool::mayReceivePreferred() const
{
    return !m_answerLimit.has_value() || m_waitingBytes() <= static_cast<qsizetype>(m_limits.bodyBytes);
}

bool ClientPool::mustPause(ClientConnection &connection)
{
    if (m_preferred == nullptr && isOverLimit()) {
        m_preferred = &connection;
    }
    return &connection == m_preferred ? !mayReceivePreferred() : isOverLimit();
}

void ClientPool::onPartReceived(ClientConnection &connection)
{
    const bool isShort = connection.heldBytes() <= internal::shortAnswerBytes;
    if (isShort || !mustPause(connection)) {
        return;
    }
    connection.setPaused(true);
    m_hasPaused = true;
    m_onPaused(connection.heldBytes());
}

void ClientPool::resumeAnswers()
{
    if (m_preferred == nullptr) {
        // The one that has received most ends soonest, and then leaves most room.
        for (const auto &[key, connection] : m_connections) {
            const bool isFurther = m_preferred == nullptr || key->heldBytes() > m_preferred->heldBytes();
            m_preferred = key->isPaused() && isFurther ? key : m_preferred;
        }
    }
    if (m_preferred != nullptr && m_preferred->isPaused() && mayReceivePreferred()) {
        m_preferred->setPaused(false);
    }
    m_hasPaused = false;
    for (const auto &[key, connection] : m_connections) {
        if (key != m_preferred && key->isPaused() && !isOverLimit()) {
            key->setPaused(false);
        }
        m_hasPaused = m_hasPaused || key->isPaused();
    }
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
    endAnswer(connection);
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
    endAnswer(connection);
}

void ClientPool::endAnswer(const ClientConnection &connection)
{
    if (m_preferred == &connection) {
        m_preferred = nullptr;
    }
    if (m_hasPaused) {
        resumeAnswers();
    }
}

} // namespace egretlatch::http
