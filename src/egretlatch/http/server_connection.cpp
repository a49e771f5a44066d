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
// Pipelined bytes kept while a request is under way; more stay with the caller.
constexpr qsizetype mostPipelined = 65536;

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
{
    m_stream.adopt(descriptor);
}

void ServerConnection::onBytes(const QByteArray &bytes)
{
    if (m_isEnding) {
        return;
    }
    if (m_isAwaitingAnswer) {
        // Reading goes on, or the end of the connection would not be seen; but not without bound.
        m_reader.feed(bytes);
        if (bytes.size() >= internal::mostPipelined) {
            m_stream.setReading(false);
        }
        return;
    }
    if (m_reader.state() == ReadState::waiting) {
        m_since = m_clock.steadyNow();
    }
    m_reader.feed(bytes);
    handOver();
}

void ServerConnection::handOver()
{
    if (m_reader.state() == ReadState::failed) {
        refuseUnreadable();
        return;
    }
    if (m_reader.expectsContinue() && !m_hasContinued) {
        m_hasContinued = true;
        m_stream.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (m_reader.state() != ReadState::complete) {
        return;
    }
    Request request = m_reader.take();
    m_hasContinued = false;
    m_isAwaitingAnswer = true;
    m_keepsConnection = request.keepsConnection;
    m_listener.onRequest(*this, std::move(request));
}

void ServerConnection::refuseUnreadable()
{
    endAfter(bareResponse(internal::statusOf(m_reader.error())));
}

void ServerConnection::endAfter(const Response &response)
{
    Response last = response;
    last.keepsConnection = false;
    m_isEnding = true;
    m_since = m_clock.steadyNow();
    m_stream.write(encode(last));
    m_stream.finishWriting();
}

void ServerConnection::answer(const Response &response)
{
    if (m_isOver || !m_isAwaitingAnswer) {
        return;
    }
    m_isAwaitingAnswer = false;
    m_since = m_clock.steadyNow();
    if (!m_keepsConnection || m_isRetiring || !response.keepsConnection) {
        endAfter(response);
        return;
    }
    m_stream.write(encode(response));
    m_stream.setReading(true);
    if (m_reader.hasRest()) {
        m_reader.feed({});
    }
    if (m_reader.state() != ReadState::waiting) {
        handOver();
    }
}

void ServerConnection::checkTimes()
{
    if (m_isOver || m_isAwaitingAnswer) {
        return;
    }
    const Duration waited = m_clock.steadyNow() - m_since;
    if (m_isEnding) {
        if (waited > internal::lingerTime) {
            over();
        }
        return;
    }
    if (m_stream.unsentBytes() > 0) {
        return;
    }
    if (m_reader.state() == ReadState::waiting) {
        if (waited > m_limits.idleTimeout) {
            over();
        }
        return;
    }
    if (waited > m_limits.idleTimeout || (m_reader.state() == ReadState::readingHeader && waited > m_limits.headerTimeout)) {
        endAfter(bareResponse(internal::requestTimeout));
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
    if (m_isAwaitingAnswer) {
        m_isAwaitingAnswer = false;
        m_listener.onAbandoned(*this);
    }
    m_listener.onClosed(*this);
}

} // namespace egretlatch::http
