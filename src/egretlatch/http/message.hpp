#ifndef EGRETLATCH_HTTP_MESSAGE_HPP
#define EGRETLATCH_HTTP_MESSAGE_HPP

#include <string>
#include <string_view>

#include <QByteArray>

#include <egretlatch/core/header.hpp>
#include <egretlatch/core/message_bytes.hpp>

namespace egretlatch::http
{

/*! @brief Complete HTTP request. */
struct Request
{
    std::string method;
    /*! @brief Path and query as received. */
    std::string target;
    Headers headers;
    QByteArray body;
    /*! @brief True if the connection may carry another request afterwards. */
    bool keepsConnection{true};

    friend bool operator==(const Request &, const Request &) = default;
};

/*! @brief Complete HTTP response. */
struct Response
{
    int status{};
    Headers headers;
    QByteArray body;
    /*! @brief True if the connection may carry another request afterwards. */
    bool keepsConnection{true};

    friend bool operator==(const Response &, const Response &) = default;
};

/**
 * @brief Returns a response without header fields and body.
 * @param status The status.
 */
[[nodiscard]] Response bareResponse(int status);

/**
 * @brief Compares names of header fields, ignoring the case of ASCII letters.
 * @return True if they are equal.
 */
[[nodiscard]] bool isSameName(std::string_view left, std::string_view right) noexcept;

/**
 * @brief Finds a header field.
 * @param headers The fields.
 * @param name Its name, in any case.
 * @return The first value, or null if there is none.
 */
[[nodiscard]] const std::string *findHeader(const Headers &headers, std::string_view name) noexcept;

/**
 * @brief Checks whether a field is hop-by-hop or part of the message framing.
 * @param name Its name, in any case.
 * @return True if it must not be forwarded.
 */
[[nodiscard]] bool isConnectionHeader(std::string_view name) noexcept;

/**
 * @brief Removes the fields that must not be forwarded, including those listed in `Connection`.
 * @param headers The fields as received.
 * @return The fields to forward.
 */
[[nodiscard]] Headers forwardable(const Headers &headers);

/**
 * @brief Serializes a request with a `Content-Length`, which is omitted for an empty GET, HEAD or DELETE.
 * @param request The request; framing fields among its headers are omitted.
 */
[[nodiscard]] MessageBytes encode(const Request &request);

/**
 * @brief Serializes a response with a `Content-Length`, which is omitted for statuses 204 and 304.
 * @param response The response; framing fields among its headers are omitted.
 */
[[nodiscard]] MessageBytes encode(const Response &response);

} // namespace egretlatch::http

#endif
