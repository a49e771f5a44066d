#include <egretlatch/http/client_connection.hpp>

#include <algorithm>
#include <charconv>

namespace egretlatch::http
{

namespace internal
{

constexpr int firstFinalStatus = 200;
// Longer than the retransmission of a lost SYN, which takes one second.
constexpr std::chrono::milliseconds connectTimeout{1500};
// A request up to this size fits into any receive window, so a peer that does not acknowledge it is lost.
constexpr qsizetype maxBytesInWindow = 16384;
// Upper bound, and the default if the server announces no timeout. Far below ten seconds, the shortest idle timeout of the
// servers, since a request that collides with the close may have run.
constexpr std::chrono::milliseconds maxIdleTime{4000};
// Subtracted from the timeout that the server announces, to allow for the round trip.
constexpr std::chrono::milliseconds idleTimeMargin{700};

[[nodiscard]] static std::chrono::milliseconds idleTimeOf(const Response &response)
{
    const std::string *const value = findHeader(response.headers, "keep-alive");
    const std::size_t position = value == nullptr ? std::string::npos : value->find("timeout=");
    if (position == std::string::npos) {
        return maxIdleTime;
    }
    constexpr std::size_t prefixSize = 8;
    int seconds = 0;
    const char *const begin = value->data() + position + prefixSize;
    if (std::from_chars(begin, value->data() + value->size(), seconds).ec != std::errc{}) {
        return maxIdleTime;
    }
    return std::clamp(std::chrono::milliseconds{std::chrono::seconds{seconds}} - idleTimeMargin, std::chrono::milliseconds{0}, maxIdleTime);
}

} // namespace internal

ClientConnection::ClientConnection(net::Poller &poller, ClientConnectionListener &listener, const Clock &clock, const ReadLimits &limits)
    : m_listener{listener}
    , m_clock{clock}
    , m_reader{limits}
    , m_stream{poller, *this}
    , m_openedAt{clock.steadyNow()}
{
}

void ClientConnection::open(const net::Endpoint &endpoint, OutgoingRequest outgoing)
{
    m_isBusy = true;
    m_outgoing = std::move(outgoing);
    if (!m_stream.open(endpoint)) {
        fail(Failure::notConnected);
    }
}

void ClientConnection::openIdle(const net::Endpoint &endpoint)
{
    m_idleUntil = m_clock.steadyNow() + internal::connectTimeout;
    if (!m_stream.open(endpoint)) {
        shutDown();
    }
}

void ClientConnection::send(OutgoingRequest outgoing)
{
    m_isBusy = true;
    m_outgoing = std::move(outgoing);
    write();
}

void ClientConnection::cancel()
{
    m_isBusy = false;
    m_outgoing = {};
    shutDown();
}

void ClientConnection::close()
{
    shutDown();
}

void ClientConnection::checkTimeouts()
{
    if (m_isClosed) {
        return;
    }
    const SteadyTime now = m_clock.steadyNow();
    if (!m_isBusy) {
        if (now >= m_idleUntil) {
            shutDown();
        }
        return;
    }
    if (!m_isOpen && now - m_openedAt > internal::connectTimeout) {
        fail(Failure::notConnected);
        return;
    }
    if (m_isOpen && m_stream.isPatient() && m_stream.isSilent()) {
        fail(Failure::lost);
        return;
    }
    if (now >= m_outgoing.deadline) {
        fail(m_isOpen ? Failure::timedOut : Failure::notConnected);
    }
}

void ClientConnection::onOpen()
{
    m_isOpen = true;
    if (m_isBusy) {
        write();
        return;
    }
    m_idleUntil = m_clock.steadyNow() + internal::maxIdleTime;
    m_listener.onIdle(*this);
}

void ClientConnection::write()
{
    // A server may read a long body late while it is at work on it; the deadline of the request bounds that.
    m_stream.setPatience(m_outgoing.bytes.size() > internal::maxBytesInWindow);
    m_reader.setBodiesExpected(m_outgoing.hasAnswerBody);
    m_stream.write(m_outgoing.bytes.head);
    m_stream.write(m_outgoing.bytes.body);
    m_outgoing.bytes = {};
}

void ClientConnection::onBytes(const QByteArray &bytes)
{
    if (!m_isBusy) {
        // Bytes without a request: a duplicate or late answer.
        shutDown();
        return;
    }
    m_reader.feed(bytes);
    handleAnswers();
    if (m_isBusy) {
        m_listener.onPartReceived(*this);
    }
}

void ClientConnection::setPaused(const bool isPaused)
{
    m_isPaused = isPaused;
    m_stream.setPaused(isPaused);
}

void ClientConnection::handleAnswers()
{
    while (m_isBusy && m_reader.state() == ReadState::complete) {
        handleAnswer(m_reader.take());
        if (m_isBusy && m_reader.hasUnparsed()) {
            m_reader.feed({});
        }
    }
    if (m_isBusy && m_reader.state() == ReadState::failed) {
        fail(Failure::lost);
    }
}

void ClientConnection::handleAnswer(Response response)
{
    if (response.status < internal::firstFinalStatus) {
        return;
    }
    const AnswerPairing pairing = m_outgoing.pair(response);
    if (pairing == AnswerPairing::other) {
        m_hasForeignAnswer = true;
        if (!response.keepsConnection) {
            fail(Failure::lost);
        }
        return;
    }
    const bool isReusable = response.keepsConnection && pairing == AnswerPairing::own && !m_hasForeignAnswer && !m_reader.hasUnparsed();
    m_idleUntil = m_clock.steadyNow() + internal::idleTimeOf(response);
    m_isBusy = false;
    const auto onResult = std::move(m_outgoing.onResult);
    m_outgoing = {};
    if (isReusable) {
        m_listener.onIdle(*this);
    } else {
        shutDown();
    }
    onResult(std::move(response));
}

void ClientConnection::onEnd(const net::StreamEnd end)
{
    if (!m_isBusy) {
        shutDown();
        return;
    }
    if (end == net::StreamEnd::notConnected) {
        fail(Failure::notConnected);
        return;
    }
    if (end == net::StreamEnd::finished) {
        m_reader.finish();
        handleAnswers();
    }
    if (m_isBusy) {
        fail(Failure::lost);
    }
}

void ClientConnection::fail(const Failure failure)
{
    m_isBusy = false;
    const auto onResult = std::move(m_outgoing.onResult);
    m_outgoing = {};
    shutDown();
    onResult(failure);
}

void ClientConnection::shutDown()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_stream.close();
    // A closed connection is destroyed later, and the next one may have received as much by then.
    m_reader.release();
    m_listener.onClosed(*this);
}

} // namespace egretlatch::http
