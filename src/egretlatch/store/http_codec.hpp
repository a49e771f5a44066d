#ifndef EGRETLATCH_STORE_HTTP_CODEC_HPP
#define EGRETLATCH_STORE_HTTP_CODEC_HPP

#include <string>

#include <QByteArray>

#include <egretlatch/core/error.hpp>
#include <egretlatch/store/requests.hpp>

namespace egretlatch::store
{

/*! @brief A request to the platform in the form that HTTP carries; docs/PLATFORM.md gives the paths. */
struct HttpRequest
{
    QByteArray method;
    /*! @brief Path and query, percent-encoded. */
    std::string target;
    QByteArray body;

    friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

/**
 * @brief Tells whether a request changes anything.
 * @param request The request.
 * @return True for a table write and an object put.
 */
[[nodiscard]] bool isWrite(const Request &request) noexcept;

/**
 * @brief Puts a request into HTTP.
 * @param request The request.
 * @return Method, target and body.
 */
[[nodiscard]] HttpRequest encodeRequest(const Request &request);

/**
 * @brief Reads a request, as the side that serves it does.
 * @param http What came in.
 * @return The request, or `malformed`.
 */
[[nodiscard]] Result<Request> decodeRequest(const HttpRequest &http);

/**
 * @brief Puts a reply into a body.
 * @param reply The reply.
 * @return JSON, or the bytes of an object.
 */
[[nodiscard]] QByteArray encodeReply(const Reply &reply);

/**
 * @brief Gives the HTTP status of an outcome.
 * @param outcome A reply, or why there is none.
 * @return 200, 404, 409, 429, 503; 400 for anything else.
 */
[[nodiscard]] int httpStatus(const Outcome &outcome) noexcept;

/**
 * @brief Reads an answer that came whole.
 * @param request What was asked.
 * @param status HTTP status.
 * @param body Body of the answer.
 * @return The outcome; `timedOut` for a status that does not say whether anything was done.
 */
[[nodiscard]] Outcome decodeOutcome(const Request &request, int status, const QByteArray &body);

} // namespace egretlatch::store

#endif
