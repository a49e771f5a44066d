#ifndef EGRETLATCH_PLATFORM_CALLER_WIRE_HPP
#define EGRETLATCH_PLATFORM_CALLER_WIRE_HPP

#include <chrono>
#include <optional>
#include <string>

#include <egretlatch/decision/action.hpp>
#include <egretlatch/http/message.hpp>

namespace egretlatch::platform
{

/*! @brief What a caller's HTTP request says of itself. */
struct CallerRequest
{
    std::string host;
    /*! @brief Path without the query. */
    std::string path;
    /*! @brief The caller's own name of the request; empty if it gave none. */
    std::string name;
    /*! @brief Name of the request whose run seems to make this call; empty where the name does not look like that of an inner call. */
    std::string parentName;
    /*! @brief Time that the caller waits, if it said so in a form that can be read. */
    std::optional<std::chrono::milliseconds> timeout;

    friend bool operator==(const CallerRequest &, const CallerRequest &) = default;
};

/**
 * @brief Reads what a caller's request says of itself.
 * @param request The request.
 */
[[nodiscard]] CallerRequest readCaller(const http::Request &request);

/**
 * @brief Gives the header fields that a backend server is to see.
 * @param headers Fields of the caller's request.
 * @param ownService Service beside which this daemon runs.
 * @return The fields that are forwarded, and the one that says where the request began.
 */
[[nodiscard]] Headers headersForServer(const Headers &headers, const std::string &ownService);

/**
 * @brief Puts an answer into the caller's HTTP.
 * @param answer The answer; with a refusal, its verdict decides between a status that promises that nothing ran and one that does not.
 * @param requestName The caller's own name of the request.
 */
[[nodiscard]] http::Response writeAnswer(const decision::CallerAnswer &answer, const std::string &requestName);

} // namespace egretlatch::platform

#endif
