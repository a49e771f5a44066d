#include <egretlatch/http/server_connection.hpp>

namespace egretlatch::http
{

namespace internal
{

constexpr int badRequest = 400;
constexpr int requestTimeout = 408;
constexpr int payloadTooLarge = 413;
constexpr int headerFieldsTooLarge = 431;
// Time that a caller has to read the last answer and close. Closed at once with bytes of it unread, the connection would
// be reset and the answer lost.
constexpr std::chrono::seconds lingerTime{2};
// Bytes kept of requests that cannot be read yet; more stay with the caller.
constexpr qsizetype mostUnread = 65536;

[[nodiscard]] static int statusOf(const ReadError error)
{
    switch (error) {
    case ReadError::headerTooLarge:
        return headerFieldsTooLarge;
    case ReadError::bodyTooLarge:
        return payloadTooLarge;
    case ReadError::malformed:
        break;
    }
    return badRequest;
}

} // namespace internal

ServerConnection::ServerConnection(
    net::Poller &poller, ServerConnectionListener &listener, const int descriptor, const ServerLimits &limits, const Clock &clock)
    : m_listener{listener}
    , m_limits{limits}
    , m_reader{limits.read}
    , m_stream{poller, *this}
    , m_clock{clock}
    , m_since{clock.steadyNow()}
    , m_readAt{m_since}
    , m_queue{limits.pipeline}
{
    m_stream.adopt(descriptor);
}

void ServerConnection::onBytes(const QByteArray &bytes)
{
    if (m_takesNoMore) {
        m_isLastByCaller = false;
        return;
    }
    m_readAt = m_clock.steadyNow();
    if (m_reader.state() == ReadState::waiting && !m_reader.hasRest()) {
        m_since = m_readAt;
    }
    m_reader.keep(bytes);
    proceed();
}

void ServerConnection::proceed()
{
    // Answers that are given while requests are being started are sent afterwards, when it is known which one is the last.
    if (m_isProceeding || m_isOver || m_isEnding) {
        return;
    }
    m_isProceeding = true;
    do {
        while (startNext()) { }
        if (m_isRetiring && !m_queue.isEmpty()) {
            takeNoMore();
        }
    } while (sendNext());
    m_isProceeding = false;
    updateReading();
}

bool ServerConnection::startNext()
{
    if (m_isOver || m_takesNoMore || (!m_held.has_value() && !readNext())) {
        return false;
    }
    if (!m_queue.mayStart(m_held->mayOverlap)) {
        return false;
    }
    HeldRequest next = std::move(*m_held);
    m_held.reset();
    const ExchangeId exchange = m_listener.begin(*this);
    m_queue.start(exchange, next.mayOverlap, next.request.body.size());
    if (!next.request.keepsConnection) {
        m_isLastByCaller = !m_reader.hasRest();
        takeNoMore();
    }
    m_listener.onRequest(exchange, std::move(next.request), next.readAt);
    return true;
}

bool ServerConnection::readNext()
{
    // Slow readers hold back what is read for them.
    if (!m_queue.hasRoom() || m_stream.unsentBytes() >= m_limits.pipeline.bytes) {
        return false;
    }
    if (m_reader.state() == ReadState::waiting && m_reader.hasRest()) {
        m_since = m_readAt;
    }
    m_reader.feed({});
    if (m_reader.state() == ReadState::failed) {
        refuse(internal::statusOf(m_reader.error()));
        return false;
    }
    if (m_queue.isEmpty() && m_reader.expectsContinue() && !m_hasContinued) {
        m_hasContinued = true;
        m_stream.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (m_reader.state() != ReadState::complete) {
        return false;
    }
    m_hasContinued = false;
    m_held.emplace(HeldRequest{.request = m_reader.take(), .readAt = m_readAt, .mayOverlap = false});
    m_held->mayOverlap = m_listener.mayOverlap(m_held->request);
    return true;
}

void ServerConnection::refuse(const int status)
{
    m_queue.startAnswered(bareResponse(status));
    takeNoMore();
}

void ServerConnection::takeNoMore()
{
    m_takesNoMore = true;
    m_held.reset();
}

void ServerConnection::answer(const ExchangeId exchange, Response response)
{
    if (!m_queue.answer(exchange, std::move(response))) {
        return;
    }
    if (m_reader.state() == ReadState::waiting) {
        m_since = m_clock.steadyNow();
    }
    proceed();
}

bool ServerConnection::sendNext()
{
    if (m_isOver || m_isEnding) {
        return false;
    }
    std::optional<Response> response = m_queue.takeNext();
    if (!response.has_value()) {
        return false;
    }
    if (!response->keepsConnection || (m_takesNoMore && m_queue.isEmpty())) {
        endAfter(std::move(*response));
        return false;
    }
    m_stream.write(encode(*response));
    return true;
}

void ServerConnection::endAfter(Response response)
{
    response.keepsConnection = false;
    m_isEnding = true;
    takeNoMore();
    m_since = m_clock.steadyNow();
    m_stream.write(encode(response));
    if (m_isLastByCaller && m_queue.isEmpty() && m_stream.unsentBytes() == 0) {
        // The caller sends nothing more, so no byte of it can be left unread and reset the connection under the answer.
        over();
        return;
    }
    m_stream.finishWriting();
    for (const ExchangeId behind : m_queue.abandon()) {
        m_listener.onAbandoned(behind);
    }
}

void ServerConnection::updateReading()
{
    // Reading goes on while requests are under way, or the end of the connection would be seen late; but not without bound.
    const bool isBehind = m_held.has_value() || !m_queue.isEmpty() || m_stream.unsentBytes() >= m_limits.pipeline.bytes;
    m_stream.setReading(!isBehind || m_reader.restBytes() < internal::mostUnread);
}

void ServerConnection::retire()
{
    m_isRetiring = true;
    proceed();
}

void ServerConnection::checkTimes()
{
    if (m_isOver) {
        return;
    }
    const Duration waited = m_clock.steadyNow() - m_since;
    if (m_isEnding) {
        if (waited > internal::lingerTime) {
            over();
        }
        return;
    }
    if (m_takesNoMore || m_held.has_value() || m_stream.unsentBytes() > 0) {
        return;
    }
    if (m_reader.state() == ReadState::waiting) {
        if (m_queue.isEmpty() && waited > m_limits.idleTimeout) {
            over();
        }
        return;
    }
    if (waited > m_limits.idleTimeout || (m_reader.state() == ReadState::readingHeader && waited > m_limits.headerTimeout)) {
        refuse(internal::requestTimeout);
        proceed();
    }
}

void ServerConnection::onEnd(net::StreamEnd /*end*/)
{
    over();
}

void ServerConnection::close()
{
    over();
}

void ServerConnection::over()
{
    if (m_isOver) {
        return;
    }
    m_isOver = true;
    m_stream.close();
    for (const ExchangeId exchange : m_queue.abandon()) {
        m_listener.onAbandoned(exchange);
    }
    m_listener.onClosed(*this);
}

} // namespace egretlatch::http
