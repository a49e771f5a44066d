#ifndef STANDIN_LOAD_CONNECTION_POOL_HPP
#define STANDIN_LOAD_CONNECTION_POOL_HPP

#include <memory>
#include <string>
#include <vector>

#include <load/http_connection.hpp>

namespace standin::load
{

/*! @brief Connections to one entry; as many as there are exchanges at a time, kept for the next. */
class ConnectionPool
{
public:
    /**
     * @brief Builds an empty pool.
     * @param context Runs the connections.
     * @param url Base URL with an IP number and a port.
     */
    ConnectionPool(boost::asio::io_context &context, const std::string &url);

    /**
     * @brief Sends a request over an idle connection, or a new one.
     * @param request The request.
     * @param timeout Time for the whole exchange.
     * @param handler Called once, with how it ended.
     */
    void exchange(HttpRequest request, egretlatch::Duration timeout, HttpConnection::Handler handler);

    [[nodiscard]] const std::string &authority() const noexcept
    {
        return m_authority;
    }

private:
    [[nodiscard]] std::shared_ptr<HttpConnection> acquire();

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::string m_authority;
    std::vector<std::shared_ptr<HttpConnection>> m_idle;
};

} // namespace standin::load

#endif
