#include <egretlatch/http/client_connection.hpp>

#include <algorithm>
#include <charconv>

namespace egretlatch::http
{

namespace internal
{

constexpr int firstFinalStatus = 200;
// Longer than a lost opening packet that is sent again after a second.
constexpr std::chrono::milliseconds connectTimeout{1500};
// Without word from the server: below the shortest that servers close idle connections after, ten seconds, by far, since
// a request that meets the close may have run.
constexpr std::chrono::milliseconds freeTime{4000};
// The server's own time, less the way there and back.
constexpr std::chrono::milliseconds freeMargin{700};

[[nodiscard]] static std::chrono::milliseconds freeTimeOf(const Response &response)
{
    const std::string *const value = findHeader(response.headers, "keep-alive");
    const std::size_t place = value == nullptr ? std::string::npos : value->find("timeout=");
    if (place == std::string::npos) {
        return freeTime;
    }
    constexpr std::size_t prefixSize = 8;
    int seconds = 0;
    const char *const begin = value->data() + place + prefixSize;
    if (std::from_chars(begin, value->data() + value->size(), seconds).ec != std::errc{}) {
        return freeTime;
    }
    return std::clamp(std::chrono::milliseconds{std::chrono::seconds{seconds}} - freeMargin, std::chrono::milliseconds{0}, freeTime);
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
        fail(Failure::neverConnected);
    }
}

void ClientConnection::send(OutgoingRequest outgoing)
{
    m_isBusy = true;
    m_outgoing = std::move(outgoing);
    m_stream.write(m_outgoing.bytes);
    m_outgoing.bytes.clear();
}

void ClientConnection::cancel()
{
    m_isBusy = false;
    m_outgoing = {};
    over();
}

void ClientConnection::close()
{
    over();
}

void ClientConnection::checkTimes()
{
    if (m_isOver) {
        return;
    }
    const SteadyTime now = m_clock.steadyNow();
    if (!m_isBusy) {
        if (now >= m_freeUntil) {
            over();
        }
        return;
    }
    if (!m_isOpen && now - m_openedAt > internal::connectTimeout) {
        fail(Failure::neverConnected);
        return;
    }
    if (now >= m_outgoing.deadline) {
        fail(m_isOpen ? Failure::timedOut : Failure::neverConnected);
    }
}

void ClientConnection::onOpen()
{
    m_isOpen = true;
    m_stream.write(m_outgoing.bytes);
    m_outgoing.bytes.clear();
}

void ClientConnection::onBytes(const QByteArray &bytes)
{
    if (!m_isBusy) {
        // Bytes that no request asked for: an answer given twice, or late.
        over();
        return;
    }
    m_reader.feed(bytes);
    takeAnswers();
}

void ClientConnection::takeAnswers()
{
    while (m_isBusy && m_reader.state() == ReadState::complete) {
        takeAnswer(m_reader.take());
        if (m_isBusy && m_reader.hasRest()) {
            m_reader.feed({});
        }
    }
    if (m_isBusy && m_reader.state() == ReadState::failed) {
        fail(Failure::lost);
    }
}

void ClientConnection::takeAnswer(Response response)
{
    if (response.status < internal::firstFinalStatus) {
        return;
    }
    if (!m_outgoing.isMatchingResponse(response)) {
        m_isSpoiled = true;
        if (!response.keepsConnection) {
            fail(Failure::lost);
        }
        return;
    }
    const bool isReusable = response.keepsConnection && !m_isSpoiled && !m_reader.hasRest();
    m_freeUntil = m_clock.steadyNow() + internal::freeTimeOf(response);
    m_isBusy = false;
    const auto onResult = std::move(m_outgoing.onResult);
    m_outgoing = {};
    if (isReusable) {
        m_listener.onFree(*this);
    } else {
        over();
    }
    onResult(std::move(response));
}

void ClientConnection::onEnd(const net::StreamEnd end)
{
    if (!m_isBusy) {
        over();
        return;
    }
    if (end == net::StreamEnd::neverOpened) {
        fail(Failure::neverConnected);
        return;
    }
    if (end == net::StreamEnd::finished) {
        m_reader.finish();
        takeAnswers();
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
    over();
    onResult(failure);
}

void ClientConnection::over()
{
    if (m_isOver) {
        return;
    }
    m_isOver = true;
    m_stream.close();
    m_listener.onClosed(*this);
}

} // namespace egretlatch::http
