#ifndef EGRETLATCH_PLATFORM_CALLER_WIRE_HPP
#define EGRETLATCH_PLATFORM_CALLER_WIRE_HPP

#include <chrono>
#include <optional>
#include <string>

#include <egretlatch/decision/action.hpp>
#include <egretlatch/http/message.hpp>

namespace egretlatch::platform
{

/*! @brief Routing fields, names and timeout of a caller's HTTP request. */
struct CallerRequest
{
    std::string host;
    /*! @brief Path without the query. */
    std::string path;
    /*! @brief Name that the caller gave the request; empty if none. */
    std::string name;
    /*! @brief Name of the request whose execution apparently makes this call; empty if the name does not have the form of an inner call's. */
    std::string parentName;
    /*! @brief Time that the caller waits; empty if missing or invalid. */
    std::optional<std::chrono::milliseconds> timeout;

    friend bool operator==(const CallerRequest &, const CallerRequest &) = default;
};

/**
 * @brief Reads the routing fields, names and timeout of a caller's request.
 * @param request The request.
 */
[[nodiscard]] CallerRequest readCaller(const http::Request &request);

/**
 * @brief Returns the header fields to send to a backend server.
 * @param headers Fields of the caller's request.
 * @param ownService Service of the backend server on this daemon's VM.
 * @return The forwarded fields, and the one that names the calling service.
 */
[[nodiscard]] Headers headersForServer(const Headers &headers, const std::string &ownService);

/**
 * @brief Converts an answer to the platform's HTTP for callers.
 * @param answer The answer; for a refusal, the verdict selects a status that promises that the request did not run, or one that
 *        does not.
 * @param requestName Name that the caller gave the request.
 */
[[nodiscard]] http::Response writeAnswer(const decision::CallerAnswer &answer, const std::string &requestName);

} // namespace egretlatch::platform

#endif
