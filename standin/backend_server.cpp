#include <backend_server.hpp>

#include <cstdlib>

#include <QCoreApplication>
#include <QJsonDocument>
#include <QUrl>

#include <fmt/format.h>

#include <egretlatch/cli/documents.hpp>
#include <egretlatch/daemon/http_headers.hpp>
#include <egretlatch/settings/json_object_reader.hpp>

namespace standin
{

namespace internal
{

using StatusCode = QHttpServerResponder::StatusCode;

constexpr std::chrono::milliseconds announceInterval{1000};
constexpr int ok = 200;
constexpr int internalError = 500;
constexpr int badGateway = 502;
constexpr int serviceUnavailable = 503;
constexpr int minErrorStatus = 400;

static void write(QHttpServerResponder &responder, const int status, const QByteArray &body, const char *const verdict = nullptr)
{
    responder.writeStatusLine(static_cast<StatusCode>(status));
    responder.writeHeader("Content-Type", "application/json");
    if (verdict != nullptr) {
        responder.writeHeader(egretlatch::daemon::verdictHeader, verdict);
    }
    responder.writeHeader("Content-Length", QByteArray::number(body.size()));
    responder.writeBody(body);
}

} // namespace internal

BackendServer::BackendServer(BackendOptions options, egretlatch::manifest::ServiceSpec service)
    : m_options{std::move(options)}
    , m_service{std::move(service)}
    , m_random{m_options.seed}
{
    if (m_options.slots == 0) {
        m_options.slots = m_service.slots;
    }
    connect(&m_announceTimer, &QTimer::timeout, this, &BackendServer::announce);
    m_announceTimer.start(internal::announceInterval);
}

void BackendServer::announce()
{
    const QJsonObject announcement{
        {QStringLiteral("service"), QString::fromStdString(m_service.name)},
        {QStringLiteral("slots"), m_options.slots},
        {QStringLiteral("connections"), m_service.connections},
    };
    const QNetworkRequest request{QUrl{QString::fromStdString(m_options.daemonUrl + "/backend/announce")}};
    QNetworkReply *const reply = m_pool.send("POST", request, QJsonDocument{announcement}.toJson());
    connect(reply, &QNetworkReply::finished, reply, &QObject::deleteLater);
}

bool BackendServer::handleRequest(const QHttpServerRequest &request, QTcpSocket *const socket)
{
    const QString path = request.url().path();
    if (path == QLatin1String{"/executions"}) {
        makeResponder(request, socket).write(QJsonDocument{executions()});
    } else if (path == QLatin1String{"/load"}) {
        makeResponder(request, socket).write(QJsonDocument{loadReport()});
    } else if (path == QLatin1String{"/health"}) {
        makeResponder(request, socket).write("ok\n", "text/plain");
    } else if (path == QLatin1String{"/control"}) {
        handleControl(request, socket);
    } else {
        handleRun(request, socket);
    }
    return true;
}

void BackendServer::missingHandler(const QHttpServerRequest &request, QTcpSocket *const socket)
{
    makeResponder(request, socket).write(internal::StatusCode::NotFound);
}

void BackendServer::handleControl(const QHttpServerRequest &request, QTcpSocket *const socket)
{
    egretlatch::settings::Problems problems;
    egretlatch::settings::JsonObjectReader reader{egretlatch::settings::parseJson(request.body(), problems), "", problems};
    BackendBehaviour behaviour;
    behaviour.slowdown = reader.number("slowdown", {0.0, 1e6}, 1.0);
    behaviour.failShare = reader.number("failShare", {0.0, 1.0}, 0.0);
    behaviour.rejectShare = reader.number("rejectShare", {0.0, 1.0}, 0.0);
    behaviour.disconnectShare = reader.number("cutShare", {0.0, 1.0}, 0.0);
    behaviour.crashOn = reader.text("crashOn", "");
    behaviour.hangs = reader.flag("hangs", false);
    behaviour.reportsIdle = reader.flag("lies", false);
    reader.finish();
    if (egretlatch::settings::hasError(problems)) {
        makeResponder(request, socket).write(QByteArray::fromStdString(toLine("control", problems.front())), "text/plain", internal::StatusCode::BadRequest);
        return;
    }
    m_behaviour = behaviour;
    makeResponder(request, socket).write(internal::StatusCode::NoContent);
}

void BackendServer::handleRun(const QHttpServerRequest &request, QTcpSocket *const socket)
{
    const std::string kindName = request.value(egretlatch::daemon::kindHeader).toStdString();
    const auto kind = std::find_if(m_service.kinds.begin(), m_service.kinds.end(), [&kindName](const egretlatch::manifest::KindSpec &candidate) {
        return candidate.name == kindName;
    });
    if (kind == m_service.kinds.end()) {
        makeResponder(request, socket).write(internal::StatusCode::NotFound);
        return;
    }
    QHttpServerResponder responder = makeResponder(request, socket);
    if (m_random.fraction() < m_behaviour.rejectShare) {
        internal::write(responder, internal::serviceUnavailable, "{}", "not-run");
        return;
    }
    if (m_random.fraction() < m_behaviour.failShare) {
        internal::write(responder, internal::internalError, R"({"error":"told to fail"})");
        return;
    }
    auto run = std::make_shared<Run>(Run{
        .kind = &*kind,
        .responder = std::move(responder),
        .socket = socket,
        .callToken = request.value(egretlatch::daemon::callHeader),
        .timeout = request.value(egretlatch::daemon::timeoutHeader),
        .trace = request.value(egretlatch::daemon::traceHeader),
        .key = request.value(egretlatch::daemon::keyHeader),
        .body = request.body(),
    });
    m_queue.push_back(std::move(run));
    startQueued();
}

void BackendServer::startQueued()
{
    while (m_running < m_options.slots && !m_queue.empty()) {
        const RunPtr run = m_queue.front();
        m_queue.pop_front();
        if (!run->socket.isNull() && run->socket->state() == QAbstractSocket::ConnectedState) {
            startRun(run);
        }
    }
}

void BackendServer::startRun(const RunPtr &run)
{
    ++m_running;
    ++m_startedRuns;
    m_maxRunning = std::max(m_maxRunning, m_running);
    if (!run->key.isEmpty()) {
        ++m_executions[run->key.toStdString()];
    }
    if (!m_behaviour.crashOn.empty() && run->body.contains(QByteArray::fromStdString(m_behaviour.crashOn))) {
        std::_Exit(EXIT_FAILURE);
    }
    if (m_behaviour.hangs) {
        return;
    }
    if (m_random.fraction() < m_behaviour.disconnectShare) {
        --m_running;
        run->socket->abort();
        return;
    }
    const std::chrono::duration<double, std::milli> cost = run->kind->cost * m_behaviour.slowdown;
    QTimer::singleShot(std::chrono::duration_cast<std::chrono::milliseconds>(cost), Qt::PreciseTimer, this, [this, run] {
        makeNextCall(run);
    });
}

void BackendServer::makeNextCall(const RunPtr &run)
{
    if (run->nextCall >= run->kind->calls.size()) {
        finishRun(run, internal::ok, run->body.isEmpty() ? QByteArray{R"({"ran":true})"} : run->body);
        return;
    }
    const egretlatch::manifest::InnerCall &call = run->kind->calls[run->nextCall];
    ++run->callsMade;
    if (run->callsMade >= call.count) {
        ++run->nextCall;
        run->callsMade = 0;
    }
    const std::string url = fmt::format("{}/call/{}/{}/", m_options.daemonUrl, call.service, call.kind);
    QNetworkRequest request{QUrl{QString::fromStdString(url)}};
    request.setRawHeader(egretlatch::daemon::callHeader, run->callToken);
    request.setRawHeader(egretlatch::daemon::timeoutHeader, run->timeout);
    request.setRawHeader(egretlatch::daemon::traceHeader, run->trace);
    if (!run->key.isEmpty()) {
        const std::string innerKey = fmt::format("{}.{}.{}", run->key.toStdString(), run->nextCall, run->callsMade);
        request.setRawHeader(egretlatch::daemon::keyHeader, QByteArray::fromStdString(innerKey));
    }
    QNetworkReply *const reply = m_pool.send("POST", request, run->body);
    connect(reply, &QNetworkReply::finished, this, [this, run, reply] {
        handleInnerAnswer(run, reply);
    });
}

void BackendServer::handleInnerAnswer(const RunPtr &run, QNetworkReply *const reply)
{
    reply->deleteLater();
    const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (status == 0 || status >= internal::minErrorStatus) {
        finishRun(run, internal::badGateway, R"({"error":"an inner call failed"})");
        return;
    }
    makeNextCall(run);
}

void BackendServer::finishRun(const RunPtr &run, const int status, const QByteArray &body)
{
    --m_running;
    if (!run->socket.isNull() && run->socket->state() == QAbstractSocket::ConnectedState) {
        internal::write(run->responder, status, body);
    }
    startQueued();
}

QJsonObject BackendServer::executions() const
{
    QJsonObject counts;
    for (const auto &[key, count] : m_executions) {
        counts[QString::fromStdString(key)] = count;
    }
    return counts;
}

QJsonObject BackendServer::loadReport() const
{
    const int running = m_behaviour.reportsIdle ? 0 : m_running;
    return {
        {QStringLiteral("running"), running},
        {QStringLiteral("waiting"), m_behaviour.reportsIdle ? 0 : static_cast<int>(m_queue.size())},
        {QStringLiteral("slots"), m_options.slots},
        {QStringLiteral("mostRunning"), m_maxRunning},
        {QStringLiteral("ran"), static_cast<qint64>(m_startedRuns)},
    };
}

int runBackend(BackendOptions options, int argc, char **argv)
{
    const std::shared_ptr<const egretlatch::manifest::Manifest> manifest = egretlatch::cli::readManifest(options.manifestPath);
    if (manifest == nullptr) {
        return EXIT_FAILURE;
    }
    const egretlatch::manifest::ServiceSpec *const service = manifest->findService(options.service);
    if (service == nullptr) {
        fmt::print(stderr, "the manifest declares no service {}\n", options.service);
        return EXIT_FAILURE;
    }
    const QCoreApplication application{argc, argv};
    const std::uint16_t port = options.port;
    BackendServer server{std::move(options), *service};
    if (server.listen(QHostAddress::LocalHost, port) == 0) {
        fmt::print(stderr, "cannot listen on port {}\n", port);
        return EXIT_FAILURE;
    }
    server.announce();
    return QCoreApplication::exec();
}

} // namespace standin
