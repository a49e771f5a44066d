#include <egretlatch/http/server_connection.hpp>

namespace egretlatch::http
{

namespace internal
{

constexpr int badRequest = 400;
constexpr int requestTimeout = 408;
constexpr int payloadTooLarge = 413;
constexpr int headerFieldsTooLarge = 431;
// Time for a caller to close after it has received the last answer. Closing immediately with unread bytes of the caller would reset
// the connection and lose the answer.
constexpr std::chrono::seconds lingerTime{2};
// Time without progress from which a caller is checked for silence; a peer that is alive acknowledges within less.
constexpr std::chrono::seconds silenceCheckTime{3};
// Maximum bytes buffered of requests that cannot be parsed yet; flow control holds the rest back at the caller.
constexpr qsizetype maxReadAhead = 65536;

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

std::string_view toString(const DropReason reason) noexcept
{
    switch (reason) {
    case DropReason::silent:
        return "silent";
    case DropReason::paused:
        return "paused";
    case DropReason::memory:
        return "memory";
    }
    return "unknown";
}

ServerConnection::ServerConnection(
    net::Poller &poller, ServerConnectionListener &listener, const int descriptor, const ServerLimits &limits, const Clock &clock)
    : m_listener{listener}
    , m_limits{limits}
    , m_reader{limits.read}
    , m_stream{poller, *this}
    , m_clock{clock}
    , m_phaseStart{clock.steadyNow()}
    , m_readAt{m_phaseStart}
    , m_queue{limits.pipeline}
{
    m_stream.adopt(descriptor);
}

void ServerConnection::setLimits(const ServerLimits &limits)
{
    const PipelineLimits pipeline = m_limits.pipeline;
    m_limits = limits;
    m_limits.pipeline = pipeline;
    m_reader.setLimits(limits.read);
}

void ServerConnection::onBytes(const QByteArray &bytes)
{
    if (m_ignoresRequests) {
        m_isFinalRequest = false;
        return;
    }
    m_readAt = m_clock.steadyNow();
    if (m_reader.state() == ReadState::waiting && !m_reader.hasUnparsed()) {
        m_phaseStart = m_readAt;
    }
    m_reader.append(bytes);
    proceed();
    if (!m_isClosed) {
        m_listener.onPartReceived(*this);
    }
}

void ServerConnection::setPaused(const bool isPaused)
{
    m_isPaused = isPaused;
    m_stream.setPaused(isPaused);
    // The caller had no part in the time for which its request was not read.
    m_phaseStart = m_clock.steadyNow();
}

void ServerConnection::proceed()
{
    // Answers given while requests are being started are sent afterwards, when it is known which one is the last.
    if (m_isProceeding || m_isClosed || m_isLingering) {
        return;
    }
    m_isProceeding = true;
    do {
        while (startNext()) { }
        if (m_isRetiring && !m_queue.isEmpty()) {
            ignoreFurtherRequests();
        }
    } while (sendNext());
    m_isProceeding = false;
    updateReading();
}

bool ServerConnection::startNext()
{
    if (m_isClosed || m_ignoresRequests || (!m_waiting.has_value() && !readNext())) {
        return false;
    }
    if (!m_queue.mayStart(m_waiting->mayOverlap)) {
        return false;
    }
    WaitingRequest next = std::move(*m_waiting);
    m_waiting.reset();
    const ExchangeId exchange = m_listener.begin(*this);
    m_queue.start(exchange, next.mayOverlap, next.request.body.size());
    if (!next.request.keepsConnection) {
        m_isFinalRequest = !m_reader.hasUnparsed();
        ignoreFurtherRequests();
    }
    m_listener.onRequest(exchange, std::move(next.request), next.readAt);
    return true;
}

bool ServerConnection::readNext()
{
    // Backpressure: no request of a caller is parsed while it does not read its answers.
    if (!m_queue.hasRoom() || m_stream.unsentBytes() >= m_limits.pipeline.bytes) {
        return false;
    }
    if (m_reader.state() == ReadState::waiting && m_reader.hasUnparsed()) {
        m_phaseStart = m_readAt;
    }
    m_reader.feed({});
    if (m_reader.state() == ReadState::failed) {
        refuse(internal::statusOf(m_reader.error()));
        return false;
    }
    if (m_queue.isEmpty() && m_reader.expectsContinue() && !m_hasSentContinue) {
        m_hasSentContinue = true;
        m_stream.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (m_reader.state() != ReadState::complete) {
        return false;
    }
    m_hasSentContinue = false;
    m_waiting.emplace(WaitingRequest{.request = m_reader.take(), .readAt = m_readAt, .mayOverlap = false});
    m_waiting->mayOverlap = m_listener.mayOverlap(m_waiting->request);
    return true;
}

void ServerConnection::refuse(const int status)
{
    m_queue.startAnswered(bareResponse(status));
    ignoreFurtherRequests();
}

void ServerConnection::ignoreFurtherRequests()
{
    m_ignoresRequests = true;
    m_waiting.reset();
}

void ServerConnection::answer(const ExchangeId exchange, Response response)
{
    if (!m_queue.answer(exchange, std::move(response))) {
        return;
    }
    if (m_reader.state() == ReadState::waiting) {
        m_phaseStart = m_clock.steadyNow();
    }
    proceed();
}

bool ServerConnection::sendNext()
{
    if (m_isClosed || m_isLingering) {
        return false;
    }
    std::optional<Response> response = m_queue.takeNext();
    if (!response.has_value()) {
        return false;
    }
    if (!response->keepsConnection || (m_ignoresRequests && m_queue.isEmpty())) {
        sendFinal(std::move(*response));
        return false;
    }
    write(*response);
    return true;
}

void ServerConnection::write(const Response &response)
{
    const MessageBytes bytes = encode(response);
    m_stream.write(bytes.head);
    m_stream.write(bytes.body);
    if (m_stream.unsentBytes() > 0) {
        // The caller may pause for longer than the kernel waits; checkDelivery() finds one that is gone.
        m_stream.setPatience(true);
    }
}

void ServerConnection::sendFinal(Response response)
{
    response.keepsConnection = false;
    m_isLingering = true;
    ignoreFurtherRequests();
    m_lastProgress = m_clock.steadyNow();
    write(response);
    if (m_isFinalRequest && m_queue.isEmpty() && m_stream.unsentBytes() == 0) {
        // The caller sends nothing more, so no unread byte can reset the connection before the answer is received.
        shutDown();
        return;
    }
    m_stream.finishWriting();
    for (const ExchangeId abandoned : m_queue.abandon()) {
        m_listener.onAbandoned(abandoned);
    }
}

void ServerConnection::updateReading()
{
    // Reading continues while requests are in progress, otherwise the end of the connection would be noticed late; but the
    // buffer is bounded.
    const bool isBusy = m_waiting.has_value() || !m_queue.isEmpty() || m_stream.unsentBytes() >= m_limits.pipeline.bytes;
    m_stream.setReading(!isBusy || m_reader.unparsedBytes() < internal::maxReadAhead);
}

void ServerConnection::retire()
{
    m_isRetiring = true;
    proceed();
}

void ServerConnection::checkTimeouts()
{
    if (m_isClosed) {
        return;
    }
    if (m_isLingering || m_stream.unsentBytes() > 0) {
        checkDelivery();
        return;
    }
    const Duration waited = m_clock.steadyNow() - m_phaseStart;
    if (m_ignoresRequests || m_waiting.has_value() || m_isPaused) {
        return;
    }
    if (m_reader.state() == ReadState::waiting) {
        if (m_queue.isEmpty() && waited > m_limits.idleTimeout) {
            shutDown();
        }
        return;
    }
    if (waited > m_limits.idleTimeout || (m_reader.state() == ReadState::readingHeader && waited > m_limits.headerTimeout)) {
        refuse(internal::requestTimeout);
        proceed();
    }
}

void ServerConnection::checkDelivery()
{
    // The time counts from the last byte that the caller took: a long answer takes a slow reader longer than any fixed time.
    const qsizetype undelivered = m_stream.undeliveredBytes();
    const SteadyTime now = m_clock.steadyNow();
    if (undelivered != m_undelivered) {
        m_undelivered = undelivered;
        m_lastProgress = now;
        return;
    }
    const Duration paused = now - m_lastProgress;
    if (undelivered == 0) {
        if (paused > internal::lingerTime) {
            shutDown();
        }
        return;
    }
    if (paused > internal::silenceCheckTime && m_stream.isSilent()) {
        drop(DropReason::silent);
    } else if (paused > m_limits.pauseLimit) {
        drop(DropReason::paused);
    }
}

void ServerConnection::drop(const DropReason reason)
{
    m_listener.onDropped(reason, m_stream.undeliveredBytes());
    shutDown();
}

void ServerConnection::onDrained()
{
    m_undelivered = 0;
    proceed();
}

void ServerConnection::onEnd(net::StreamEnd /*end*/)
{
    shutDown();
}

void ServerConnection::close()
{
    shutDown();
}

void ServerConnection::shutDown()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_stream.close();
    for (const ExchangeId exchange : m_queue.abandon()) {
        m_listener.onAbandoned(exchange);
    }
    m_listener.onClosed(*this);
}

} // namespace egretlatch::http
