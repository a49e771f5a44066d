#ifndef EGRETLATCH_HTTP_MESSAGE_HPP
#define EGRETLATCH_HTTP_MESSAGE_HPP

#include <string>
#include <string_view>

#include <QByteArray>

#include <egretlatch/core/header.hpp>

namespace egretlatch::http
{

/*! @brief A whole request. */
struct Request
{
    std::string method;
    /*! @brief Path and query as they came. */
    std::string target;
    Headers headers;
    QByteArray body;
    /*! @brief Whether the connection may carry another request afterwards. */
    bool keepsConnection{true};

    friend bool operator==(const Request &, const Request &) = default;
};

/*! @brief A whole response. */
struct Response
{
    int status{};
    Headers headers;
    QByteArray body;
    /*! @brief Whether the connection may carry another request afterwards. */
    bool keepsConnection{true};

    friend bool operator==(const Response &, const Response &) = default;
};

/**
 * @brief Gives a response that says nothing beyond its status.
 * @param status The status.
 */
[[nodiscard]] Response bareResponse(int status);

/**
 * @brief Compares names of header fields.
 * @return True if they are alike but for the case of ASCII letters.
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
 * @brief Tells whether a field concerns one connection only, or the framing of the message.
 * @param name Its name, in any case.
 * @return True if it must not be forwarded.
 */
[[nodiscard]] bool isConnectionHeader(std::string_view name) noexcept;

/**
 * @brief Takes out what is not to be forwarded, fields named by `Connection` among them.
 * @param headers The fields as they came.
 * @return Those that go on.
 */
[[nodiscard]] Headers forwardable(const Headers &headers);

/**
 * @brief Puts a request into bytes, with a length.
 * @param request The request; framing fields among its headers are left out.
 */
[[nodiscard]] QByteArray encode(const Request &request);

/**
 * @brief Puts a response into bytes, with a length.
 * @param response The response; framing fields among its headers are left out.
 */
[[nodiscard]] QByteArray encode(const Response &response);

} // namespace egretlatch::http

#endif
