#ifndef EGRETLATCH_STORE_HTTP_CODEC_HPP
#define EGRETLATCH_STORE_HTTP_CODEC_HPP

#include <string>

#include <QByteArray>

#include <egretlatch/core/error.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::store
{

/*! @brief Request to the platform as an HTTP request; docs/PLATFORM.md lists the paths. */
struct HttpRequest
{
    QByteArray method;
    /*! @brief Path and query, percent-encoded. */
    std::string target;
    QByteArray body;

    friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

/**
 * @brief Checks whether a request modifies the store.
 * @param request The request.
 * @return True for a table write and an object put.
 */
[[nodiscard]] bool isWrite(const Request &request) noexcept;

/**
 * @brief Encodes a request as HTTP.
 * @param request The request.
 * @return Method, target and body.
 */
[[nodiscard]] HttpRequest encodeRequest(const Request &request);

/**
 * @brief Decodes a request on the serving side.
 * @param http The HTTP request.
 * @return The request, or `malformed`.
 */
[[nodiscard]] Result<Request> decodeRequest(const HttpRequest &http);

/**
 * @brief Encodes a reply as an HTTP body.
 * @param reply The reply.
 * @return JSON, or the bytes of an object.
 */
[[nodiscard]] QByteArray encodeReply(const Reply &reply);

/**
 * @brief Returns the HTTP status of an outcome.
 * @param outcome A reply or an error.
 * @return 200, 404, 409, 429, 503; 400 for anything else.
 */
[[nodiscard]] int httpStatus(const Outcome &outcome) noexcept;

/**
 * @brief Decodes a complete HTTP response.
 * @param request The request that was sent.
 * @param status HTTP status.
 * @param body Body of the response.
 * @return The outcome; `timedOut` for a status that does not prove whether the request took effect.
 */
[[nodiscard]] Outcome decodeOutcome(const Request &request, int status, const QByteArray &body);

} // namespace egretlatch::store

#endif
