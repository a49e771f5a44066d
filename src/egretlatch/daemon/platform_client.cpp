#include <egretlatch/daemon/platform_client.hpp>

#include <QUrl>

#include <egretlatch/store/http_codec.hpp>

namespace egretlatch::daemon
{

namespace internal
{

// Below the rate that the platform sustains, to leave capacity for operator tools and for errors in the estimated fleet size.
constexpr double fleetReadsPerSecond = 1500.0;
constexpr double fleetWritesPerSecond = 200.0;
constexpr double burst = 16.0;

[[nodiscard]] static QNetworkRequest toQt(const PlatformAccess &access, const store::HttpRequest &http)
{
    QNetworkRequest request{QUrl::fromEncoded(QByteArray::fromStdString(access.url + http.target))};
    request.setTransferTimeout(static_cast<int>(access.timeout.count()));
    request.setAttribute(QNetworkRequest::CacheLoadControlAttribute, QNetworkRequest::AlwaysNetwork);
    request.setHeader(QNetworkRequest::ContentTypeHeader, QByteArray{"application/json"});
    request.setRawHeader("Accept-Encoding", "identity");
    if (!access.token.isEmpty()) {
        request.setRawHeader("Authorization", QByteArray::fromStdString(access.token.toBearer()));
    }
    return request;
}

[[nodiscard]] static bool hasCompleteAnswer(const QNetworkReply &reply, const int status)
{
    // Qt reports a status of 400 and above as a content, server or protocol error, with a complete body.
    constexpr int firstError = 400;
    return status != 0 && (reply.error() == QNetworkReply::NoError || (status >= firstError && reply.error() >= QNetworkReply::ContentAccessDenied));
}

[[nodiscard]] static store::Outcome outcomeOf(const store::Request &request, QNetworkReply &reply)
{
    const int status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (hasCompleteAnswer(reply, status)) {
        return store::decodeOutcome(request, status, reply.readAll());
    }
    if (reply.error() == QNetworkReply::ConnectionRefusedError) {
        // No connection was established, so no part of the request was sent.
        return tl::unexpected{Error{ErrorCode::unavailable, "the platform cannot be reached"}};
    }
    return tl::unexpected{Error{ErrorCode::timedOut, "the platform did not answer"}};
}

} // namespace internal

PlatformClient::PlatformClient(PlatformAccess access)
    : m_access{std::move(access)}
    , m_reads{internal::fleetReadsPerSecond, internal::burst}
    , m_writes{internal::fleetWritesPerSecond, internal::burst}
{
}

void PlatformClient::setFleetSize(const int daemons)
{
    m_reads.setFleetSize(daemons);
    m_writes.setFleetSize(daemons);
}

void PlatformClient::send(const store::Request &request, OutcomeHandler onOutcome)
{
    if (m_access.url.empty()) {
        onOutcome(tl::unexpected{Error{ErrorCode::unavailable, "no platform is configured"}});
        return;
    }
    store::RateLimiter &limiter = store::isWrite(request) ? m_writes : m_reads;
    if (!limiter.tryTake(std::chrono::steady_clock::now())) {
        onOutcome(tl::unexpected{Error{ErrorCode::rateLimited, "the local share of the platform's request rate is used up"}});
        return;
    }
    const store::HttpRequest http = store::encodeRequest(request);
    // A read may be repeated; a write that Qt resends could fail with a conflict caused by its own first attempt.
    const Resend resend = store::isWrite(request) ? Resend::never : Resend::allowed;
    QNetworkReply *const reply = m_pool.send(http.method, internal::toQt(m_access, http), http.body, resend);
    connect(reply, &QNetworkReply::finished, this, [request, reply, handler = std::move(onOutcome)] {
        reply->deleteLater();
        handler(internal::outcomeOf(request, *reply));
    });
}

} // namespace egretlatch::daemon
