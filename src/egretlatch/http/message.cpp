#include <egretlatch/http/message.hpp>

#include <algorithm>
#include <array>
#include <cctype>

#include <boost/beast/http/status.hpp>

namespace egretlatch::http
{

namespace internal
{

constexpr std::array<std::string_view, 9> connectionHeaders{
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "upgrade", "transfer-encoding", "content-length", "expect"};

static void append(QByteArray &bytes, const std::string_view text)
{
    bytes.append(text.data(), static_cast<qsizetype>(text.size()));
}

static void appendField(QByteArray &bytes, const std::string_view name, const std::string_view value)
{
    append(bytes, name);
    append(bytes, ": ");
    append(bytes, value);
    append(bytes, "\r\n");
}

[[nodiscard]] static MessageBytes withHeadersAndBody(QByteArray bytes, const Headers &headers, const bool keepsConnection, const QByteArray &body)
{
    for (const Header &header : headers) {
        if (!isConnectionHeader(header.name)) {
            appendField(bytes, header.name, header.value);
        }
    }
    if (!keepsConnection) {
        appendField(bytes, "Connection", "close");
    }
    append(bytes, "\r\n");
    if (isLongBody(body)) {
        return {.head = std::move(bytes), .body = body};
    }
    bytes.append(body);
    return {.head = std::move(bytes), .body = {}};
}

[[nodiscard]] static bool isNamedBy(const std::string &list, const std::string_view name)
{
    std::size_t begin = 0;
    while (begin <= list.size()) {
        const std::size_t end = std::min(list.find(',', begin), list.size());
        std::string_view token = std::string_view{list}.substr(begin, end - begin);
        while (!token.empty() && (token.front() == ' ' || token.front() == '\t')) {
            token.remove_prefix(1);
        }
        while (!token.empty() && (token.back() == ' ' || token.back() == '\t')) {
            token.remove_suffix(1);
        }
        if (isSameName(token, name)) {
            return true;
        }
        begin = end + 1;
    }
    return false;
}

} // namespace internal

Response bareResponse(const int status)
{
    Response response;
    response.status = status;
    return response;
}

bool isSameName(const std::string_view left, const std::string_view right) noexcept
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](const unsigned char one, const unsigned char other) {
               return std::tolower(one) == std::tolower(other);
           });
}

const std::string *findHeader(const Headers &headers, const std::string_view name) noexcept
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const Header &header) {
        return isSameName(header.name, name);
    });
    return found == headers.end() ? nullptr : &found->value;
}

bool isConnectionHeader(const std::string_view name) noexcept
{
    return std::any_of(internal::connectionHeaders.begin(), internal::connectionHeaders.end(), [name](const std::string_view candidate) {
        return isSameName(candidate, name);
    });
}

Headers forwardable(const Headers &headers)
{
    const std::string *const named = findHeader(headers, "connection");
    Headers forwarded;
    forwarded.reserve(headers.size());
    for (const Header &header : headers) {
        const bool isDropped = isConnectionHeader(header.name) || (named != nullptr && internal::isNamedBy(*named, header.name));
        if (!isDropped) {
            forwarded.push_back(header);
        }
    }
    return forwarded;
}

MessageBytes encode(const Request &request)
{
    QByteArray bytes;
    internal::append(bytes, request.method);
    bytes.append(' ');
    internal::append(bytes, request.target);
    internal::append(bytes, " HTTP/1.1\r\n");
    const bool mayHaveBody = request.method != "GET" && request.method != "HEAD" && request.method != "DELETE";
    if (mayHaveBody || !request.body.isEmpty()) {
        internal::appendField(bytes, "Content-Length", std::to_string(request.body.size()));
    }
    return internal::withHeadersAndBody(std::move(bytes), request.headers, request.keepsConnection, request.body);
}

MessageBytes encode(const Response &response)
{
    QByteArray bytes;
    internal::append(bytes, "HTTP/1.1 ");
    internal::append(bytes, std::to_string(response.status));
    bytes.append(' ');
    const auto reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(static_cast<unsigned>(response.status)));
    internal::append(bytes, {reason.data(), reason.size()});
    internal::append(bytes, "\r\n");
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    if (response.status != noContent && response.status != notModified) {
        internal::appendField(bytes, "Content-Length", std::to_string(response.body.size()));
    }
    return internal::withHeadersAndBody(std::move(bytes), response.headers, response.keepsConnection, response.body);
}

} // namespace egretlatch::http
