#include <platform_server.hpp>

#include <cstdlib>

#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <QUrl>

#include <fmt/format.h>

#include <egretlatch/cli/documents.hpp>
#include <egretlatch/settings/json_object_reader.hpp>
#include <egretlatch/store/http_codec.hpp>

namespace standin
{

using namespace egretlatch;

namespace internal
{

using StatusCode = QHttpServerResponder::StatusCode;

constexpr double burstSeconds = 0.25;
constexpr settings::Range<std::int64_t> latencyRange{.min = 0, .max = 60'000};
constexpr settings::Range<double> shareRange{.min = 0.0, .max = 1.0};
constexpr settings::Range<double> rateRange{.min = 0.0, .max = 1e6};

[[nodiscard]] static store::RateLimiter makeRateLimiter(const double rate)
{
    return {rate, rate * burstSeconds};
}

[[nodiscard]] static QByteArray methodName(const QHttpServerRequest &request)
{
    return request.method() == QHttpServerRequest::Method::Put ? "PUT" : "GET";
}

static void answer(QHttpServerResponder &responder, const store::Outcome &outcome)
{
    const QByteArray body = outcome.has_value() ? store::encodeReply(*outcome) : QByteArray{"{}"};
    responder.write(body, "application/json", static_cast<StatusCode>(store::httpStatus(outcome)));
}

} // namespace internal

PlatformServer::PlatformServer(Secret token, const std::uint64_t seed)
    : m_token{std::move(token)}
    , m_random{seed}
    , m_readLimiter{internal::makeRateLimiter(m_behaviour.readsPerSecond)}
    , m_writeLimiter{internal::makeRateLimiter(m_behaviour.writesPerSecond)}
{
}

bool PlatformServer::handleRequest(const QHttpServerRequest &request, QTcpSocket *const socket)
{
    const QString path = request.url().path();
    if (path == QLatin1String{"/control"}) {
        handleControl(request, socket);
    } else if (path == QLatin1String{"/counts"}) {
        handleCounts(request, socket);
    } else {
        handleStore(request, socket);
    }
    return true;
}

void PlatformServer::missingHandler(const QHttpServerRequest &request, QTcpSocket *const socket)
{
    makeResponder(request, socket).write(internal::StatusCode::NotFound);
}

void PlatformServer::handleControl(const QHttpServerRequest &request, QTcpSocket *const socket)
{
    settings::Problems problems;
    settings::JsonObjectReader reader{settings::parseJson(request.body(), problems), "", problems};
    const PlatformBehaviour defaults;
    PlatformBehaviour behaviour;
    behaviour.latency = reader.milliseconds("latencyMs", internal::latencyRange, defaults.latency.count());
    behaviour.isDown = reader.flag("down", false);
    behaviour.hangs = reader.flag("hangs", false);
    behaviour.loseAnswerShare = reader.number("loseAnswerShare", internal::shareRange, 0.0);
    behaviour.readsPerSecond = reader.number("readsPerSecond", internal::rateRange, defaults.readsPerSecond);
    behaviour.writesPerSecond = reader.number("writesPerSecond", internal::rateRange, defaults.writesPerSecond);
    reader.finish();
    if (settings::hasError(problems)) {
        makeResponder(request, socket).write(QByteArray::fromStdString(toLine("control", problems.front())), "text/plain", internal::StatusCode::BadRequest);
        return;
    }
    m_behaviour = behaviour;
    m_readLimiter = internal::makeRateLimiter(behaviour.readsPerSecond);
    m_writeLimiter = internal::makeRateLimiter(behaviour.writesPerSecond);
    makeResponder(request, socket).write(internal::StatusCode::NoContent);
}

void PlatformServer::handleCounts(const QHttpServerRequest &request, QTcpSocket *const socket)
{
    const QJsonObject counts{
        {u"reads"_qs, static_cast<qint64>(m_reads)},
        {u"writes"_qs, static_cast<qint64>(m_writes)},
        {u"limited"_qs, static_cast<qint64>(m_rateLimited)},
        {u"lostAnswers"_qs, static_cast<qint64>(m_lostAnswers)},
    };
    makeResponder(request, socket).write(QJsonDocument{counts});
}

void PlatformServer::handleStore(const QHttpServerRequest &request, QTcpSocket *const socket)
{
    if (!m_token.isEmpty() && !m_token.matchesBearer(request.value("Authorization").toStdString())) {
        makeResponder(request, socket).write(internal::StatusCode::Unauthorized);
        return;
    }
    if (m_behaviour.hangs) {
        return;
    }
    const std::string target = request.url().toEncoded(QUrl::RemoveScheme | QUrl::RemoveAuthority).toStdString();
    const Result<store::Request> storeRequest = store::decodeRequest({.method = internal::methodName(request), .target = target, .body = request.body()});
    const store::Outcome outcome = storeRequest.has_value() ? execute(*storeRequest) : store::Outcome{tl::unexpected{storeRequest.error()}};
    const bool hasWritten = storeRequest.has_value() && outcome.has_value() && store::isWrite(*storeRequest);
    if (hasWritten && m_random.fraction() < m_behaviour.loseAnswerShare) {
        ++m_lostAnswers;
        socket->abort();
        return;
    }
    auto responder = std::make_shared<QHttpServerResponder>(makeResponder(request, socket));
    if (m_behaviour.latency.count() == 0) {
        internal::answer(*responder, outcome);
        return;
    }
    QTimer::singleShot(m_behaviour.latency, Qt::PreciseTimer, socket, [responder, outcome] {
        internal::answer(*responder, outcome);
    });
}

store::Outcome PlatformServer::execute(const store::Request &request)
{
    const bool isWrite = store::isWrite(request);
    ++(isWrite ? m_writes : m_reads);
    if (m_behaviour.isDown) {
        return tl::unexpected{Error{ErrorCode::unavailable, "the simulated platform is down"}};
    }
    if (!(isWrite ? m_writeLimiter : m_readLimiter).tryTake(std::chrono::steady_clock::now())) {
        ++m_rateLimited;
        return tl::unexpected{Error{ErrorCode::rateLimited, "too many requests"}};
    }
    return m_store.apply(request);
}

int runPlatform(const PlatformOptions &options, int argc, char **argv)
{
    std::optional<Secret> token = cli::readToken(options.tokenFile);
    if (!token.has_value()) {
        return EXIT_FAILURE;
    }
    const QCoreApplication application{argc, argv};
    PlatformServer server{std::move(*token), options.seed};
    if (server.listen(QHostAddress::LocalHost, options.port) == 0) {
        fmt::print(stderr, "cannot listen on port {}\n", options.port);
        return EXIT_FAILURE;
    }
    return QCoreApplication::exec();
}

} // namespace standin
