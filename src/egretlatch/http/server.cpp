#include <egretlatch/http/server.hpp>

#include <algorithm>
#include <utility>

namespace egretlatch::http
{

namespace internal
{

// Time without progress from which a caller counts as paused when too many bytes are held: more than two ticks.
constexpr std::chrono::milliseconds pauseTime{250};
// Multiple of the limit of held bytes beyond which callers that take some, however few, are dropped, too.
constexpr int hardLimitFactor = 2;
// Bytes of long requests without an answer beyond which no further long one is read: as many as one of the largest usual body.
constexpr qsizetype maxLongRequestBytes = qsizetype{64} * 1024 * 1024;

} // namespace internal

Server::Server(net::Poller &poller, const Clock &clock, RequestHandler onRequest, AbandonedHandler onAbandoned)
    : m_poller{poller}
    , m_clock{clock}
    , m_onRequest{std::move(onRequest)}
    , m_onAbandoned{std::move(onAbandoned)}
    , m_acceptor{poller, clock, [this](const int descriptor) {
                     accept(descriptor);
                 }}
{
}

Result<void> Server::listen(const net::Endpoint &endpoint)
{
    return m_acceptor.listen(endpoint);
}

void Server::setLimits(const ServerLimits &limits)
{
    m_limits = limits;
    for (const auto &[key, connection] : m_connections) {
        connection->setLimits(limits);
    }
}

void Server::answer(const ExchangeId exchange, Response response)
{
    const auto found = m_unanswered.find(exchange);
    if (found == m_unanswered.end()) {
        return;
    }
    ServerConnection *const connection = found->second;
    m_unanswered.erase(found);
    noteRequestEnded(exchange);
    try {
        connection->answer(exchange, std::move(response));
    } catch (...) {
        // The exception may come from the next request of this caller; it must end no other connection.
        connection->close();
        throw;
    }
}

void Server::retire()
{
    m_isRetiring = true;
    for (const auto &[key, connection] : m_connections) {
        connection->retire();
    }
}

void Server::closeIdle()
{
    m_acceptor.stop();
    std::vector<ServerConnection *> idle;
    for (const auto &[key, connection] : m_connections) {
        if (connection->isIdle()) {
            idle.push_back(key);
        }
    }
    for (ServerConnection *const connection : idle) {
        connection->close();
    }
}

bool Server::owesAnswers() const
{
    return std::any_of(m_connections.begin(), m_connections.end(), [](const auto &entry) {
        return entry.second->isOwed();
    });
}

void Server::tick()
{
    std::vector<ServerConnection *> all;
    all.reserve(m_connections.size());
    for (const auto &[key, connection] : m_connections) {
        all.push_back(key);
    }
    for (ServerConnection *const connection : all) {
        connection->checkTimeouts();
    }
    limitHeldBytes();
    m_requestBudget.resume();
    m_closed.clear();
}

void Server::limitRequests(const qsizetype limit, std::function<void(qsizetype)> onPaused)
{
    m_requestBudget.setLimits({
        .bytes = limit,
        .completeBytes = internal::maxLongRequestBytes,
        .complete =
            [this] {
                return m_longRequestBytes;
            },
        .onPaused = std::move(onPaused),
    });
}

void Server::onPartReceived(ServerConnection &connection)
{
    m_requestBudget.noteReceived(connection);
}

void Server::noteRequestEnded(const ExchangeId exchange)
{
    const auto found = m_longRequests.find(exchange);
    if (found == m_longRequests.end()) {
        return;
    }
    m_longRequestBytes -= found->second;
    m_longRequests.erase(found);
    m_requestBudget.resume();
}

void Server::limitHeldBytes()
{
    qsizetype held = 0;
    std::vector<ServerConnection *> holding;
    for (const auto &[key, connection] : m_connections) {
        if (connection->heldBytes() > 0) {
            held += connection->heldBytes();
            holding.push_back(key);
        }
    }
    if (held <= m_heldLimit) {
        return;
    }
    std::sort(holding.begin(), holding.end(), [](const ServerConnection *const left, const ServerConnection *const right) {
        return left->lastProgress() < right->lastProgress();
    });
    const SteadyTime now = m_clock.steadyNow();
    for (ServerConnection *const connection : holding) {
        // Callers that read on free the memory by themselves.
        const bool isPaused = now - connection->lastProgress() >= internal::pauseTime;
        if (held <= (isPaused ? m_heldLimit : m_heldLimit * internal::hardLimitFactor)) {
            break;
        }
        held -= connection->heldBytes();
        connection->drop(DropReason::memory);
    }
}

void Server::accept(const int descriptor)
{
    auto connection = std::make_unique<ServerConnection>(m_poller, *this, descriptor, m_limits, m_clock);
    if (m_isRetiring) {
        connection->retire();
    }
    ServerConnection *const key = connection.get();
    m_connections.emplace(key, std::move(connection));
}

bool Server::mayOverlap(const Request &request) const
{
    return m_overlapRule && m_overlapRule(request);
}

ExchangeId Server::begin(ServerConnection &connection)
{
    ++m_lastExchange.value;
    m_unanswered.emplace(m_lastExchange, &connection);
    m_requestBudget.noteEnded(connection);
    return m_lastExchange;
}

void Server::onRequest(const ExchangeId exchange, Request request, const SteadyTime readAt)
{
    if (isLongBody(request.body)) {
        m_longRequests.emplace(exchange, request.body.size());
        m_longRequestBytes += request.body.size();
    }
    m_onRequest(exchange, std::move(request), readAt);
}

void Server::onAbandoned(const ExchangeId exchange)
{
    m_unanswered.erase(exchange);
    noteRequestEnded(exchange);
    m_onAbandoned(exchange);
}

void Server::onDropped(const DropReason reason, const qsizetype undelivered)
{
    if (m_onDropped) {
        m_onDropped(reason, undelivered);
    }
}

void Server::onClosed(ServerConnection &connection)
{
    m_requestBudget.noteEnded(connection);
    const auto found = m_connections.find(&connection);
    if (found != m_connections.end()) {
        m_closed.push_back(std::move(found->second));
        m_connections.erase(found);
    }
}

} // namespace egretlatch::http
