#include <egretlatch/cli/http_fetch.hpp>

#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>

namespace egretlatch::cli
{

namespace internal
{

constexpr std::chrono::milliseconds timeout{3000};
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;

} // namespace internal

Result<QByteArray> fetchPage(const std::string &url, const Secret &token)
{
    QNetworkAccessManager manager;
    QNetworkRequest request{QUrl::fromEncoded(QByteArray::fromStdString(url))};
    request.setTransferTimeout(static_cast<int>(internal::timeout.count()));
    if (!token.isEmpty()) {
        request.setRawHeader("Authorization", QByteArray::fromStdString(token.toBearer()));
    }
    const std::unique_ptr<QNetworkReply> reply{manager.get(request)};
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (status == internal::statusUnauthorized) {
        return tl::unexpected{Error{ErrorCode::forbidden, "the daemon does not accept the token"}};
    }
    if (status == internal::statusNotFound) {
        return tl::unexpected{Error{ErrorCode::notFound, "the daemon has no such page"}};
    }
    if (reply->error() != QNetworkReply::NoError) {
        return tl::unexpected{Error{ErrorCode::unavailable, "no answer: " + reply->errorString().toStdString()}};
    }
    return reply->readAll();
}

} // namespace egretlatch::cli
