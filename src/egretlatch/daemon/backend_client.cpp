#include <egretlatch/daemon/backend_client.hpp>

#include <QAbstractSocket>
#include <QHostAddress>
#include <QHostInfo>
#include <QUrl>

#include <egretlatch/account/trace_context.hpp>
#include <egretlatch/core/verdict.hpp>
#include <egretlatch/daemon/http_headers.hpp>

namespace egretlatch::daemon
{

namespace internal
{

constexpr int serviceUnavailable = 503;
constexpr int defaultPort = 80;
constexpr std::chrono::milliseconds tickInterval{100};
// The decision core aborts a run at its deadline. This later deadline only frees the connection if it fails to.
constexpr std::chrono::milliseconds deadlineMargin{500};
constexpr http::ReadLimits answerLimits{.headerBytes = 64U * 1024U, .bodyBytes = 64ULL * 1024U * 1024U};

[[nodiscard]] static QUrl parse(const std::string &url)
{
    return QUrl::fromEncoded(QByteArray::fromStdString(url), QUrl::TolerantMode);
}

/*! @brief Returns the first IPv4 address of a host; the host as written if it has none, so that connections to it fail. */
[[nodiscard]] static std::string addressOf(const QString &host)
{
    const QList<QHostAddress> addresses = QHostInfo::fromName(host).addresses();
    for (const QHostAddress &address : addresses) {
        if (address.protocol() == QAbstractSocket::IPv4Protocol) {
            return address.toString().toStdString();
        }
    }
    return host.toStdString();
}

[[nodiscard]] static net::Endpoint endpointOf(const QUrl &url)
{
    return {.address = addressOf(url.host()), .port = static_cast<std::uint16_t>(url.port(defaultPort))};
}

[[nodiscard]] static http::Request toHttp(const decision::RunRequest &run, const std::string &host, const std::string &pathPrefix)
{
    http::Request request{.method = run.method, .target = pathPrefix + run.path, .headers = run.headers, .body = run.body};
    const auto add = [&request](const char *const name, std::string value) {
        request.headers.push_back({.name = name, .value = std::move(value)});
    };
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(run.remaining).count();
    add("Host", host);
    add("Accept-Encoding", "identity");
    add(timeoutHeader, std::to_string(milliseconds));
    add(kindHeader, run.kind);
    add(callHeader, run.runToken);
    add(traceHeader, account::toTraceParent(run.trace));
    if (!run.account.empty()) {
        add(accountHeader, run.account);
    }
    if (!run.key.empty()) {
        add(keyHeader, run.key);
    }
    return request;
}

[[nodiscard]] static decision::RunFailure toRunFailure(const http::Failure failure)
{
    return failure == http::Failure::notConnected ? decision::RunFailure::notConnected : decision::RunFailure::lost;
}

[[nodiscard]] static bool isRejected(const http::Response &response)
{
    const std::string *const verdict = http::findHeader(response.headers, verdictHeader);
    return response.status == serviceUnavailable && verdict != nullptr && *verdict == toString(Verdict::notRun);
}

[[nodiscard]] static decision::RunAnswer toRunAnswer(const http::Response &response)
{
    decision::RunAnswer answer;
    answer.status = response.status;
    answer.body = response.body;
    for (const Header &header : response.headers) {
        if (isEndToEnd(QByteArray::fromStdString(header.name))) {
            answer.headers.push_back(header);
        }
    }
    return answer;
}

} // namespace internal

BackendClient::BackendClient(const std::string &baseUrl, const Clock &clock, EndHandler onEnd)
    : m_clock{clock}
    , m_onEnd{std::move(onEnd)}
    , m_host{internal::parse(baseUrl).authority().toStdString()}
    , m_pathPrefix{internal::parse(baseUrl).path(QUrl::FullyEncoded).toStdString()}
    , m_pool{m_poller, clock, internal::endpointOf(internal::parse(baseUrl)), internal::answerLimits}
{
    m_tickTimer.setInterval(internal::tickInterval);
    QObject::connect(&m_tickTimer, &QTimer::timeout, &m_tickTimer, [this] {
        m_pool.tick();
    });
    m_tickTimer.start();
}

void BackendClient::start(const decision::StartRun &run)
{
    const ExecutionId execution = run.execution;
    http::OutgoingRequest outgoing;
    outgoing.bytes = http::encode(internal::toHttp(run.request, m_host, m_pathPrefix));
    outgoing.hasAnswerBody = run.request.method != "HEAD";
    outgoing.pair = [](const http::Response & /*response*/) {
        return http::AnswerPairing::own;
    };
    outgoing.deadline = m_clock.steadyNow() + run.request.remaining + internal::deadlineMargin;
    outgoing.onResult = [this, execution](const http::Outcome &outcome) {
        handleOutcome(execution, outcome);
    };
    // The result may be delivered before send() returns.
    m_running.emplace(execution, http::ClientRequestId{});
    const http::ClientRequestId id = m_pool.send(std::move(outgoing));
    const auto found = m_running.find(execution);
    if (found != m_running.end()) {
        found->second = id;
    }
}

void BackendClient::abort(const ExecutionId execution)
{
    const auto found = m_running.find(execution);
    if (found == m_running.end()) {
        return;
    }
    const http::ClientRequestId id = found->second;
    m_running.erase(found);
    m_pool.cancel(id);
}

void BackendClient::handleOutcome(const ExecutionId execution, const http::Outcome &outcome)
{
    m_running.erase(execution);
    if (const auto *const failure = std::get_if<http::Failure>(&outcome)) {
        m_onEnd({.execution = execution, .result = internal::toRunFailure(*failure)});
        return;
    }
    const auto &response = std::get<http::Response>(outcome);
    if (internal::isRejected(response)) {
        m_onEnd({.execution = execution, .result = decision::RunFailure::rejected});
        return;
    }
    m_onEnd({.execution = execution, .result = internal::toRunAnswer(response)});
}

} // namespace egretlatch::daemon
