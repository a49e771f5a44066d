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

/*! @brief API key of a caller's request. */
struct ApiKeyClaim
{
    /*! @brief Digest of the key; empty without one. */
    std::string digest;
    /*! @brief Set if there are several keys, or one that is too long to be a key. */
    bool isInvalid{};

    friend bool operator==(const ApiKeyClaim &, const ApiKeyClaim &) = default;
};

/**
 * @brief Reads the routing fields, names and timeout of a caller's request.
 * @param request The request.
 */
[[nodiscard]] CallerRequest readCaller(const http::Request &request);

/**
 * @brief Reads the API key of a caller's request; the key itself is not kept.
 * @param headers Fields of the request.
 */
[[nodiscard]] ApiKeyClaim readApiKey(const Headers &headers);

/**
 * @brief Returns the header fields to send to a backend server.
 * @param headers Fields of the caller's request.
 * @param ownService Service of the backend server on this daemon's VM.
 * @param hasAccounts True if there are client accounts: then neither a key nor an account that the caller names is forwarded.
 * @return The forwarded fields, and the one that names the calling service.
 */
[[nodiscard]] Headers headersForServer(const Headers &headers, const std::string &ownService, bool hasAccounts);

/**
 * @brief Converts an answer to the platform's HTTP for callers.
 * @param answer The answer; for a refusal, the verdict selects a status that promises that the request did not run, or one that
 *        does not.
 * @param requestName Name that the caller gave the request.
 */
[[nodiscard]] http::Response writeAnswer(const decision::CallerAnswer &answer, const std::string &requestName);

} // namespace egretlatch::platform

#endif
