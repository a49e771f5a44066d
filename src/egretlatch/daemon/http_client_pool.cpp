#include <egretlatch/daemon/http_client_pool.hpp>

#include <algorithm>

#include <egretlatch/daemon/single_use_body.hpp>

namespace egretlatch::daemon
{

namespace internal
{

constexpr int connectionsPerManager = 6;

} // namespace internal

QNetworkReply *HttpClientPool::send(const QByteArray &method, const QNetworkRequest &request, const QByteArray &body, const Resend resend)
{
    Client &client = availableClient();
    ++client.inFlight;
    QNetworkReply *reply = nullptr;
    if (resend == Resend::never) {
        auto *const singleUse = new SingleUseBody{body};
        reply = client.manager.sendCustomRequest(request, method, singleUse);
        singleUse->setParent(reply);
    } else {
        reply = client.manager.sendCustomRequest(request, method, body);
    }
    QObject::connect(reply, &QNetworkReply::finished, &client.manager, [&client] {
        --client.inFlight;
    });
    return reply;
}

HttpClientPool::Client &HttpClientPool::availableClient()
{
    const auto found = std::find_if(m_clients.begin(), m_clients.end(), [](const std::unique_ptr<Client> &client) {
        return client->inFlight < internal::connectionsPerManager;
    });
    if (found != m_clients.end()) {
        return **found;
    }
    m_clients.push_back(std::make_unique<Client>());
    m_clients.back()->manager.setAutoDeleteReplies(false);
    return *m_clients.back();
}

} // namespace egretlatch::daemon
