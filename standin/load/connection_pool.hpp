#ifndef STANDIN_LOAD_CONNECTION_POOL_HPP
#define STANDIN_LOAD_CONNECTION_POOL_HPP

#include <memory>
#include <string>
#include <vector>

#include <load/http_connection.hpp>

namespace standin::load
{

/*! @brief Unbounded pool of keep-alive connections to one entry; each exchange in progress has a connection of its own. */
class ConnectionPool
{
public:
    /**
     * @brief Constructs an empty pool.
     * @param context Context that runs the asynchronous operations of the connections.
     * @param url Base URL with a numeric IP address and a port.
     */
    ConnectionPool(boost::asio::io_context &context, const std::string &url);

    /**
     * @brief Sends a request over an idle connection, or over a new one if none is idle.
     * @param request The request.
     * @param timeout Time limit of the whole exchange, including the connection setup.
     * @param handler Called once, with the reply or the transport failure.
     */
    void exchange(HttpRequest request, egretlatch::Duration timeout, HttpConnection::Handler handler);

    /*! @brief Returns the value for the `Host` header. */
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
