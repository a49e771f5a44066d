#include <load/connection_pool.hpp>

#include <QString>
#include <QUrl>

#include <fmt/format.h>

namespace standin::load
{

ConnectionPool::ConnectionPool(boost::asio::io_context &context, const std::string &url)
    : m_context{context}
{
    const QUrl parsed{QString::fromStdString(url)};
    const std::string host = parsed.host().toStdString();
    const auto port = static_cast<std::uint16_t>(parsed.port());
    m_endpoint = {boost::asio::ip::make_address(host), port};
    m_authority = fmt::format("{}:{}", host, port);
}

void ConnectionPool::exchange(HttpRequest request, const egretlatch::Duration timeout, HttpConnection::Handler handler)
{
    const std::shared_ptr<HttpConnection> connection = acquire();
    connection->exchange(std::move(request), timeout, [this, connection, handler = std::move(handler)](HttpReply reply) {
        if (reply.isKeepAlive) {
            m_idle.push_back(connection);
        }
        handler(std::move(reply));
    });
}

std::shared_ptr<HttpConnection> ConnectionPool::acquire()
{
    while (!m_idle.empty()) {
        std::shared_ptr<HttpConnection> connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->isUsable()) {
            return connection;
        }
    }
    return std::make_shared<HttpConnection>(m_context, m_endpoint);
}

} // namespace standin::load
