#include <load/http_connection.hpp>

#include <charconv>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <egretlatch/daemon/http_headers.hpp>

namespace standin::load
{

namespace internal
{

[[nodiscard]] static std::string headerValue(const boost::beast::http::response<boost::beast::http::string_body> &response, const char *const name)
{
    const boost::beast::string_view value = response[name];
    return {value.data(), value.size()};
}

[[nodiscard]] static std::chrono::seconds parseSeconds(const std::string &text)
{
    int seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds{seconds};
}

} // namespace internal

HttpConnection::HttpConnection(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint endpoint)
    : m_stream{context}
    , m_endpoint{std::move(endpoint)}
{
}

void HttpConnection::exchange(HttpRequest request, const egretlatch::Duration timeout, Handler handler)
{
    m_request = std::move(request);
    m_handler = std::move(handler);
    m_response.emplace();
    m_stream.expires_after(timeout);
    if (m_isOpen) {
        write();
        return;
    }
    connect();
}

bool HttpConnection::isUsable()
{
    boost::beast::error_code error;
    m_stream.socket().non_blocking(true, error);
    char byte{};
    m_stream.socket().receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    return error == boost::asio::error::would_block;
}

void HttpConnection::connect()
{
    m_stream.async_connect(m_endpoint, [self = shared_from_this()](const boost::beast::error_code error) {
        if (error) {
            self->finish(error, TransportResult::connectFailed);
            return;
        }
        self->m_isOpen = true;
        boost::beast::error_code ignored;
        self->m_stream.socket().set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
        self->write();
    });
}

void HttpConnection::write()
{
    boost::beast::http::async_write(m_stream, m_request, [self = shared_from_this()](const boost::beast::error_code error, std::size_t) {
        if (error) {
            self->finish(error, TransportResult::connectionLost);
            return;
        }
        self->read();
    });
}

void HttpConnection::read()
{
    boost::beast::http::async_read(m_stream, m_buffer, *m_response, [self = shared_from_this()](const boost::beast::error_code error, std::size_t) {
        self->finish(error, error ? TransportResult::connectionLost : TransportResult::answered);
    });
}

void HttpConnection::finish(const boost::beast::error_code error, const TransportResult result)
{
    HttpReply reply;
    reply.transport = error == boost::beast::error::timeout ? TransportResult::timedOut : result;
    if (reply.transport == TransportResult::answered) {
        auto response = m_response->release();
        reply.status = static_cast<int>(response.result_int());
        reply.verdict = internal::headerValue(response, egretlatch::daemon::verdictHeader);
        reply.nextKey = internal::headerValue(response, egretlatch::daemon::nextKeyHeader);
        reply.retryAfter = internal::parseSeconds(internal::headerValue(response, "Retry-After"));
        reply.isKeepAlive = response.keep_alive();
        reply.body = std::move(response.body());
    }
    m_stream.expires_never();
    if (!reply.isKeepAlive) {
        m_stream.close();
    }
    // The handler may start the next exchange, which sets m_handler, so it is moved out before the call.
    const Handler handler = std::exchange(m_handler, nullptr);
    handler(std::move(reply));
}

} // namespace standin::load
