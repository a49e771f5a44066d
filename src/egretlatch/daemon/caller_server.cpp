#include <egretlatch/daemon/caller_server.hpp>

#include <QHostAddress>

#include <fmt/format.h>

#include <egretlatch/daemon/guarded_tcp_server.hpp>
#include <egretlatch/daemon/http_headers.hpp>
#include <egretlatch/daemon/parse_call.hpp>
#include <egretlatch/daemon/problem_document.hpp>
#include <egretlatch/retry/verdict_rules.hpp>
#include <egretlatch/settings/json_object_reader.hpp>

namespace egretlatch::daemon
{

namespace internal
{

using StatusCode = QHttpServerResponder::StatusCode;

constexpr std::int64_t headerAllowance = 64LL * 1024LL;
constexpr std::chrono::milliseconds finishCheckInterval{5};
// Longest time for which callers that are alive and do not read their answers hold up the end of the process.
constexpr std::chrono::seconds deliveryLimit{30};
constexpr QLatin1String keysPrefix{"/keys/"};
constexpr QLatin1String backendPrefix{"/backend/"};
constexpr char nothingHere[] = "there is nothing at this path";
constexpr settings::Range<std::int64_t> slotsRange{.min = 1, .max = 10'000};
constexpr settings::Range<std::int64_t> connectionsRange{.min = 1, .max = 100'000};

[[nodiscard]] static Headers headersOf(const decision::CallerAnswer &answer)
{
    if (answer.verdict != Verdict::completed) {
        return problemHeaders(answer);
    }
    Headers headers = answer.headers;
    headers.push_back({.name = verdictHeader, .value = std::string{toString(answer.verdict)}});
    return headers;
}

static void write(QHttpServerResponder &responder, const int status, const Headers &headers, const QByteArray &body)
{
    responder.writeStatusLine(static_cast<StatusCode>(status));
    for (const Header &header : headers) {
        responder.writeHeader(QByteArray::fromStdString(header.name), QByteArray::fromStdString(header.value));
    }
    responder.writeHeader("Content-Length", QByteArray::number(body.size()));
    responder.writeBody(body);
}

} // namespace internal

CallerServer::CallerServer(const std::int64_t maxBodyBytes, EventHandler onEvent, account::MetricsSink &metrics)
    : m_maxBodyBytes{maxBodyBytes}
    , m_onEvent{std::move(onEvent)}
    , m_metrics{metrics}
{
}

void CallerServer::addPageLookup(const QString &prefix, PageLookup lookup)
{
    m_lookupPrefix = prefix;
    m_lookup = std::move(lookup);
}

void CallerServer::requireToken(Secret token)
{
    m_token = std::move(token);
}

void CallerServer::addPage(const QString &path, const QByteArray &contentType, PageHandler handler)
{
    m_pages.insert_or_assign(path.toStdString(), Page{.contentType = contentType, .handler = std::move(handler)});
}

Result<void> CallerServer::start(const std::string &address, const std::uint16_t port)
{
    auto server = std::make_unique<GuardedTcpServer>(m_maxBodyBytes + internal::headerAllowance, [this](const std::string_view reason) {
        m_metrics.count("requests_dropped", reason);
    });
    if (!server->listen(QHostAddress{QString::fromStdString(address)}, port)) {
        return tl::unexpected{Error{ErrorCode::unavailable, fmt::format("cannot listen on {}:{}", address, port)}};
    }
    m_tcpServer = server.get();
    // bind() passes ownership of the TCP server to the HTTP server.
    bind(server.release());
    return {};
}

void CallerServer::setReady(const bool isReady)
{
    m_isReady = isReady;
}

void CallerServer::retire()
{
    m_isRetiring = true;
}

void CallerServer::finish(std::function<void()> onFinished)
{
    retire();
    m_onFinished = std::move(onFinished);
    m_tcpServer->stopListening();
    m_finishLimit = std::chrono::steady_clock::now() + internal::deliveryLimit;
    connect(&m_finishTimer, &QTimer::timeout, this, &CallerServer::checkFinished);
    m_finishTimer.start(internal::finishCheckInterval);
}

void CallerServer::checkFinished()
{
    for (QTcpSocket *const socket : m_tcpServer->connections()) {
        if (!m_exchangesBySocket.contains(socket) && !m_tcpServer->isClosing(socket) && m_tcpServer->isIdle(socket)) {
            m_tcpServer->closeAfterAnswer(socket);
        }
    }
    m_tcpServer->abortDelivered();
    const SteadyTime now = std::chrono::steady_clock::now();
    if (!m_exchanges.empty()) {
        // Each exchange ends at its own deadline at the latest.
        m_finishLimit = now + internal::deliveryLimit;
    }
    const bool isEmpty = !m_tcpServer->isListening() && m_tcpServer->connections().empty();
    if (isEmpty || now >= m_finishLimit) {
        m_finishTimer.stop();
        m_onFinished();
    }
}

void CallerServer::answer(const decision::AnswerCaller &answer)
{
    const decision::CallerAnswer &callerAnswer = answer.answer;
    const QByteArray body = callerAnswer.verdict == Verdict::completed ? callerAnswer.body : problemBody(callerAnswer);
    send(answer.exchange, {.status = callerAnswer.status, .headers = internal::headersOf(callerAnswer), .body = body});
}

CallerServer::Answer CallerServer::page(const QByteArray &contentType, const QByteArray &body, const QHttpServerResponder::StatusCode status)
{
    return {.status = static_cast<int>(status), .headers = {{.name = "Content-Type", .value = contentType.toStdString()}}, .body = body};
}

ExchangeId CallerServer::begin(const QHttpServerRequest &request, QTcpSocket *const socket)
{
    const ExchangeId exchange{++m_lastExchange};
    m_exchanges.emplace(exchange, Exchange{.responder = makeResponder(request, socket), .socket = socket, .answer = {}});
    m_exchangesBySocket[socket].push_back(exchange);
    if (!socket->property("egretlatchWatched").toBool()) {
        socket->setProperty("egretlatchWatched", true);
        connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
            handleDisconnected(socket);
        });
    }
    return exchange;
}

void CallerServer::refuse(const ExchangeId exchange, const QHttpServerResponder::StatusCode status, const std::string &requestError, const Verdict verdict)
{
    decision::CallerAnswer refusal;
    refusal.verdict = verdict;
    refusal.status = static_cast<int>(status);
    refusal.requestError = requestError;
    answer({.exchange = exchange, .answer = refusal});
}

void CallerServer::send(const ExchangeId exchange, Answer answer)
{
    const auto found = m_exchanges.find(exchange);
    if (found == m_exchanges.end()) {
        return;
    }
    if (found->second.socket.isNull()) {
        m_exchanges.erase(found);
        return;
    }
    found->second.answer = std::move(answer);
    sendInOrder(found->second.socket);
}

void CallerServer::sendInOrder(QTcpSocket *const socket)
{
    // A caller assigns answers to its pipelined requests by their order.
    auto waiting = m_exchangesBySocket.find(socket);
    while (waiting != m_exchangesBySocket.end() && m_exchanges.at(waiting->second.front()).answer.has_value()) {
        sendNext(socket);
        waiting = m_exchangesBySocket.find(socket);
    }
}

void CallerServer::sendNext(QTcpSocket *const socket)
{
    const auto waiting = m_exchangesBySocket.find(socket);
    const auto found = m_exchanges.find(waiting->second.front());
    Exchange exchange = std::move(found->second);
    m_exchanges.erase(found);
    waiting->second.pop_front();
    if (waiting->second.empty()) {
        m_exchangesBySocket.erase(waiting);
    }
    // A request that was received behind this one is still answered.
    const bool isLast = m_isRetiring && !m_exchangesBySocket.contains(socket) && !GuardedTcpServer::hasUnhandledBytes(socket);
    if (isLast) {
        exchange.answer->headers.push_back({.name = "Connection", .value = "close"});
    }
    internal::write(exchange.responder, exchange.answer->status, exchange.answer->headers, exchange.answer->body);
    if (isLast) {
        m_tcpServer->closeAfterAnswer(socket);
    }
}

bool CallerServer::handleRequest(const QHttpServerRequest &request, QTcpSocket *const socket)
{
    GuardedTcpServer::resetReceivedBytes(socket);
    const ExchangeId exchange = begin(request, socket);
    const QString path = request.url().path();
    if (path.startsWith(callPrefix)) {
        handleCall(request, exchange);
    } else if (path.startsWith(internal::keysPrefix)) {
        handleKeys(request, exchange);
    } else if (path.startsWith(internal::backendPrefix)) {
        handleBackend(request, exchange);
    } else if (path == QLatin1String{"/healthz"}) {
        send(exchange, page("text/plain", "alive\n"));
    } else if (path == QLatin1String{"/readyz"}) {
        send(exchange, m_isReady ? page("text/plain", "ready\n") : page("text/plain", "not ready\n", internal::StatusCode::ServiceUnavailable));
    } else {
        handlePage(request, exchange);
    }
    return true;
}

void CallerServer::missingHandler(const QHttpServerRequest &request, QTcpSocket *const socket)
{
    refuse(begin(request, socket), internal::StatusCode::NotFound, internal::nothingHere);
}

bool CallerServer::isAuthorized(const QHttpServerRequest &request) const
{
    return !m_token.has_value() || m_token->matchesBearer(request.value("Authorization").toStdString());
}

void CallerServer::handlePage(const QHttpServerRequest &request, const ExchangeId exchange)
{
    const QString path = request.url().path();
    const auto found = m_pages.find(path.toStdString());
    const bool isLookup = m_lookup && path.startsWith(m_lookupPrefix);
    if (found == m_pages.end() && !isLookup) {
        refuse(exchange, internal::StatusCode::NotFound, internal::nothingHere);
        return;
    }
    if (!isAuthorized(request)) {
        const char *const requestError = m_token->isEmpty() ? "operators cannot read here: the settings name neither operatorTokenFile nor operatorAccess open"
                                                            : "the page needs the operators' token, as Authorization: Bearer";
        refuse(exchange, internal::StatusCode::Unauthorized, requestError);
        return;
    }
    if (!isLookup) {
        send(exchange, page(found->second.contentType, QByteArray::fromStdString(found->second.handler())));
        return;
    }
    const std::optional<std::string> text = m_lookup(path.mid(m_lookupPrefix.size()).toStdString());
    if (!text.has_value()) {
        refuse(exchange, internal::StatusCode::NotFound, internal::nothingHere);
        return;
    }
    send(exchange, page("application/json", QByteArray::fromStdString(*text)));
}

void CallerServer::handleCall(const QHttpServerRequest &request, const ExchangeId exchange)
{
    const Verdict verdict = retry::verdictBeforeLookup(request.value(keyHeader).toStdString());
    if (request.body().size() > m_maxBodyBytes) {
        const std::string requestError = fmt::format("the body is larger than {} bytes", m_maxBodyBytes);
        refuse(exchange, internal::StatusCode::PayloadTooLarge, requestError, verdict);
        return;
    }
    tl::expected<decision::CallerCall, std::string> call = parseCall(request);
    if (!call.has_value()) {
        refuse(exchange, internal::StatusCode::BadRequest, call.error(), verdict);
        return;
    }
    decision::CallerAnswer busy;
    busy.service = call->service;
    busy.kind = call->kind;
    if (m_onEvent(decision::CallArrived{.exchange = exchange, .call = std::move(*call)})) {
        return;
    }
    account::Refusal refusal;
    refusal.reason = account::RefusalReason::daemonBusy;
    refusal.rule = "the daemon has more calls waiting than it can look at";
    refusal.retryAfter = std::chrono::seconds{1};
    busy.verdict = verdict;
    busy.status = account::httpStatus(refusal.reason);
    busy.refusal = refusal;
    answer({.exchange = exchange, .answer = busy});
}

void CallerServer::handleKeys(const QHttpServerRequest &request, const ExchangeId exchange)
{
    const QStringList parts = request.url().path().mid(internal::keysPrefix.size()).split(u'/');
    if (request.method() != QHttpServerRequest::Method::Post || parts.size() != 2) {
        refuse(exchange, internal::StatusCode::BadRequest, "keys are minted by POST /keys/{service}/{kind}");
        return;
    }
    if (m_onEvent(decision::KeyRequested{.exchange = exchange, .service = parts[0].toStdString(), .kind = parts[1].toStdString()})) {
        return;
    }
    decision::CallerAnswer busy;
    busy.status = account::httpStatus(account::RefusalReason::daemonBusy);
    busy.requestError = "the daemon has more calls waiting than it can look at";
    answer({.exchange = exchange, .answer = busy});
}

void CallerServer::handleBackend(const QHttpServerRequest &request, const ExchangeId exchange)
{
    const QString verb = request.url().path().mid(internal::backendPrefix.size());
    if (request.method() != QHttpServerRequest::Method::Post) {
        refuse(exchange, internal::StatusCode::MethodNotAllowed, "only POST is allowed here");
        return;
    }
    bool isQueued = false;
    if (verb == QLatin1String{"announce"}) {
        settings::Problems problems;
        settings::JsonObjectReader reader{settings::parseJson(request.body(), problems), "", problems};
        decision::ServerAnnounced announced;
        announced.service = reader.text("service");
        announced.slots = static_cast<int>(reader.integer("slots", internal::slotsRange));
        announced.connections = static_cast<int>(reader.integer("connections", internal::connectionsRange));
        announced.instance = reader.text("instance", "");
        reader.finish();
        if (settings::hasError(problems)) {
            std::string lines;
            for (const settings::Problem &problem : problems) {
                lines += settings::toLine("announcement", problem) + "; ";
            }
            refuse(exchange, internal::StatusCode::BadRequest, lines);
            return;
        }
        isQueued = m_onEvent(announced);
    } else if (verb == QLatin1String{"drain"}) {
        isQueued = m_onEvent(decision::ServerDraining{});
    } else if (verb == QLatin1String{"leave"}) {
        isQueued = m_onEvent(decision::ServerLeft{});
    } else {
        refuse(exchange, internal::StatusCode::NotFound, "the paths are /backend/announce, drain and leave");
        return;
    }
    send(exchange, page("application/x-empty", {}, isQueued ? internal::StatusCode::NoContent : internal::StatusCode::ServiceUnavailable));
}

void CallerServer::handleDisconnected(QTcpSocket *const socket)
{
    const auto found = m_exchangesBySocket.find(socket);
    if (found == m_exchangesBySocket.end()) {
        return;
    }
    const std::deque<ExchangeId> exchanges = std::move(found->second);
    m_exchangesBySocket.erase(found);
    for (const ExchangeId exchange : exchanges) {
        m_exchanges.erase(exchange);
        // If the ring is full, only the cancellation is lost; the call then ends at its deadline.
        static_cast<void>(m_onEvent(decision::CallerGone{.exchange = exchange}));
    }
}

} // namespace egretlatch::daemon
