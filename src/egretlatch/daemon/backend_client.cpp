#include <egretlatch/daemon/backend_client.hpp>

#include <QUrl>

#include <egretlatch/account/trace_context.hpp>
#include <egretlatch/core/verdict.hpp>
#include <egretlatch/daemon/http_headers.hpp>

namespace egretlatch::daemon
{

namespace internal
{

constexpr int serviceUnavailable = 503;

[[nodiscard]] static QByteArray toQt(const std::string &text)
{
    return QByteArray::fromStdString(text);
}

[[nodiscard]] static QNetworkRequest toQt(const std::string &baseUrl, const decision::RunRequest &run)
{
    QNetworkRequest request{QUrl::fromEncoded(toQt(baseUrl + run.path), QUrl::TolerantMode)};
    // Responses are forwarded unchanged: redirects are not followed, content is not decoded and cookies are not stored.
    request.setAttribute(QNetworkRequest::RedirectPolicyAttribute, QNetworkRequest::ManualRedirectPolicy);
    request.setAttribute(QNetworkRequest::CookieLoadControlAttribute, QNetworkRequest::Manual);
    request.setAttribute(QNetworkRequest::CookieSaveControlAttribute, QNetworkRequest::Manual);
    request.setAttribute(QNetworkRequest::CacheLoadControlAttribute, QNetworkRequest::AlwaysNetwork);
    request.setRawHeader("Accept-Encoding", "identity");
    request.setRawHeader("User-Agent", "egretlatch");
    for (const Header &header : run.headers) {
        request.setRawHeader(toQt(header.name), toQt(header.value));
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(run.remaining).count();
    request.setRawHeader(timeoutHeader, QByteArray::number(static_cast<qlonglong>(milliseconds)));
    request.setRawHeader(kindHeader, toQt(run.kind));
    request.setRawHeader(callHeader, toQt(run.runToken));
    request.setRawHeader(traceHeader, toQt(account::toTraceParent(run.trace)));
    if (!run.account.empty()) {
        request.setRawHeader(accountHeader, toQt(run.account));
    }
    if (!run.key.empty()) {
        request.setRawHeader(keyHeader, toQt(run.key));
    }
    return request;
}

[[nodiscard]] static decision::RunFailure toRunFailure(const QNetworkReply::NetworkError error)
{
    return error == QNetworkReply::ConnectionRefusedError ? decision::RunFailure::notConnected : decision::RunFailure::lost;
}

[[nodiscard]] static decision::RunAnswer toRunAnswer(QNetworkReply &reply, const int status)
{
    decision::RunAnswer answer;
    answer.status = status;
    for (const auto &[name, value] : reply.rawHeaderPairs()) {
        if (isEndToEnd(name)) {
            answer.headers.push_back({.name = name.toStdString(), .value = value.toStdString()});
        }
    }
    answer.body = reply.readAll();
    return answer;
}

[[nodiscard]] static bool isConnectionError(const QNetworkReply::NetworkError error)
{
    // Qt also reports a status of 400 and above as an error, but then the response is complete. After a connection error it is
    // not.
    return error == QNetworkReply::RemoteHostClosedError || error == QNetworkReply::ContentReSendError || error == QNetworkReply::TimeoutError
        || error == QNetworkReply::OperationCanceledError || error == QNetworkReply::UnknownNetworkError || error == QNetworkReply::ProtocolFailure
        || error == QNetworkReply::TemporaryNetworkFailureError;
}

} // namespace internal

BackendClient::BackendClient(std::string baseUrl, EndHandler onEnd)
    : m_baseUrl{std::move(baseUrl)}
    , m_onEnd{std::move(onEnd)}
{
}

void BackendClient::start(const decision::StartRun &run)
{
    const QNetworkRequest request = internal::toQt(m_baseUrl, run.request);
    const Resend resend = run.request.mayRepeat ? Resend::allowed : Resend::never;
    QNetworkReply *const reply = m_pool.send(internal::toQt(run.request.method), request, run.request.body, resend);
    m_running.emplace(run.execution, reply);
    connect(reply, &QNetworkReply::finished, this, [this, execution = run.execution, reply] {
        handleFinished(execution, reply);
    });
}

void BackendClient::abort(const ExecutionId execution)
{
    const auto found = m_running.find(execution);
    if (found == m_running.end()) {
        return;
    }
    QNetworkReply *const reply = found->second;
    m_running.erase(found);
    reply->abort();
}

void BackendClient::handleFinished(const ExecutionId execution, QNetworkReply *const reply)
{
    reply->deleteLater();
    if (m_running.erase(execution) == 0) {
        return;
    }
    const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (status == 0 || internal::isConnectionError(reply->error())) {
        m_onEnd({.execution = execution, .result = internal::toRunFailure(reply->error())});
        return;
    }
    const bool isRejected = status == internal::serviceUnavailable && reply->rawHeader(verdictHeader) == toString(Verdict::notRun).data();
    if (isRejected) {
        m_onEnd({.execution = execution, .result = decision::RunFailure::rejected});
        return;
    }
    m_onEnd({.execution = execution, .result = internal::toRunAnswer(*reply, status)});
}

} // namespace egretlatch::daemon
