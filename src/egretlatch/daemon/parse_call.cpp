#include <egretlatch/daemon/parse_call.hpp>

#include <QUrl>

#include <egretlatch/core/secret.hpp>
#include <egretlatch/daemon/http_headers.hpp>

namespace egretlatch::daemon
{

namespace internal
{

[[nodiscard]] static std::string methodName(const QHttpServerRequest::Method method)
{
    switch (method) {
    case QHttpServerRequest::Method::Get:
        return "GET";
    case QHttpServerRequest::Method::Put:
        return "PUT";
    case QHttpServerRequest::Method::Delete:
        return "DELETE";
    case QHttpServerRequest::Method::Post:
        return "POST";
    case QHttpServerRequest::Method::Head:
        return "HEAD";
    case QHttpServerRequest::Method::Options:
        return "OPTIONS";
    case QHttpServerRequest::Method::Patch:
        return "PATCH";
    default:
        return {};
    }
}

/*! @brief Components of `/call/{service}/{kind}/{path...}`. */
struct CallPath
{
    std::string service;
    std::string kind;
    std::string path;
};

[[nodiscard]] static std::optional<CallPath> parseCallPath(const QUrl &url)
{
    const QString path = url.path(QUrl::FullyEncoded);
    const qsizetype serviceStart = callPrefix.size();
    const qsizetype serviceEnd = path.indexOf(u'/', serviceStart);
    if (serviceEnd < 0) {
        return std::nullopt;
    }
    const qsizetype kindEnd = path.indexOf(u'/', serviceEnd + 1);
    CallPath parts;
    parts.service = path.mid(serviceStart, serviceEnd - serviceStart).toStdString();
    parts.kind = path.mid(serviceEnd + 1, kindEnd < 0 ? -1 : kindEnd - serviceEnd - 1).toStdString();
    parts.path = kindEnd < 0 ? std::string{"/"} : path.mid(kindEnd).toStdString();
    if (url.hasQuery()) {
        parts.path.push_back('?');
        parts.path.append(url.query(QUrl::FullyEncoded).toStdString());
    }
    if (parts.service.empty() || parts.kind.empty()) {
        return std::nullopt;
    }
    return parts;
}

[[nodiscard]] static Headers endToEndHeaders(const QHttpServerRequest &request)
{
    Headers headers;
    for (const auto &[name, value] : request.headers()) {
        if (isEndToEnd(name)) {
            headers.push_back({.name = name.toStdString(), .value = value.toStdString()});
        }
    }
    return headers;
}

} // namespace internal

tl::expected<decision::CallerCall, std::string> parseCall(const QHttpServerRequest &request)
{
    const std::optional<internal::CallPath> path = internal::parseCallPath(request.url());
    if (!path.has_value()) {
        return tl::unexpected<std::string>{"the path is not /call/{service}/{kind}/{path}"};
    }
    decision::CallerCall call;
    call.method = internal::methodName(request.method());
    if (call.method.empty()) {
        return tl::unexpected<std::string>{"the method is not one that is passed on"};
    }
    call.service = path->service;
    call.kind = path->kind;
    call.path = path->path;
    call.headers = internal::endToEndHeaders(request);
    call.body = request.body();
    call.key = request.value(keyHeader).toStdString();
    call.apiKeyDigest = Secret{request.value(apiKeyHeader).toStdString()}.digest();
    call.runToken = request.value(callHeader).toStdString();
    const QByteArray timeout = request.value(timeoutHeader);
    if (!timeout.isEmpty()) {
        bool isNumber = false;
        const int milliseconds = timeout.toInt(&isNumber);
        if (!isNumber || milliseconds <= 0) {
            return tl::unexpected<std::string>{"Request-Timeout-Ms is a whole number above zero"};
        }
        call.timeout = std::chrono::milliseconds{milliseconds};
    }
    // W3C Trace Context requires that a malformed header is ignored.
    call.trace = account::parseTraceParent(request.value(traceHeader).toStdString());
    return call;
}

} // namespace egretlatch::daemon
