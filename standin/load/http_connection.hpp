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

/*! @brief Asynchronous HTTP client connection to an entry; handles one exchange at a time and never retries a request. */
class HttpConnection final : public std::enable_shared_from_this<HttpConnection>
{
public:
    using Handler = std::function<void(HttpReply)>;

    /**
     * @brief Constructs a connection, which the first exchange opens.
     * @param context Context that runs the asynchronous operations.
     * @param endpoint Address to connect to.
     */
    HttpConnection(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint endpoint);

    /**
     * @brief Sends a request and reads the answer.
     * @param request The request.
     * @param timeout Time limit of connecting, sending and reading together; the connection is closed when it expires.
     * @param handler Called once, with the reply or the transport failure.
     */
    void exchange(HttpRequest request, egretlatch::Duration timeout, Handler handler);

    /**
     * @brief Checks that the idle connection can be reused.
     * @return False if the peer has closed it, or it has unexpected bytes to read.
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
