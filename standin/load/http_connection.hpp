#ifndef STANDIN_LOAD_HTTP_CONNECTION_HPP
#define STANDIN_LOAD_HTTP_CONNECTION_HPP

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <egretlatch/core/clock.hpp>

#include <load/http_reply.hpp>

namespace standin::load
{

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/*! @brief One connection to an entry; carries one exchange at a time and never sends a request again by itself. */
class HttpConnection final : public std::enable_shared_from_this<HttpConnection>
{
public:
    using Handler = std::function<void(HttpReply)>;

    /**
     * @brief Builds a connection that is opened by its first exchange.
     * @param context Runs its operations.
     * @param endpoint Where to connect to.
     */
    HttpConnection(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint endpoint);

    /**
     * @brief Sends a request and reads the answer.
     * @param request The request.
     * @param timeout Time for connecting, sending and reading together; the connection is closed when it has passed.
     * @param handler Called once, with how it ended.
     */
    void exchange(HttpRequest request, egretlatch::Duration timeout, Handler handler);

    /**
     * @brief Tells whether the other side has left the idle connection open.
     * @return False if it is closed or holds bytes that nobody asked for.
     */
    [[nodiscard]] bool isUsable();

private:
    using Response = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void write();
    void read();
    void finish(boost::beast::error_code error, TransportResult result);

    boost::beast::tcp_stream m_stream;
    boost::asio::ip::tcp::endpoint m_endpoint;
    boost::beast::flat_buffer m_buffer;
    HttpRequest m_request;
    std::optional<Response> m_response;
    Handler m_handler;
    bool m_isOpen{};
};

} // namespace standin::load

#endif
