#ifndef EGRETLATCH_PLATFORM_SERVER_WIRE_HPP
#define EGRETLATCH_PLATFORM_SERVER_WIRE_HPP

#include <string>
#include <variant>

#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/http/message.hpp>

namespace egretlatch::platform
{

/**
 * @brief Converts a request to the platform's HTTP for backend servers.
 * @param run The request.
 * @param instance Incarnation of the backend server that is to execute it; empty if unknown.
 */
[[nodiscard]] http::Request writeRun(const decision::RunRequest &run, const std::string &instance);

/**
 * @brief Returns the name that the caller gave a request.
 * @param run The request.
 * @return The name; empty if it has none.
 */
[[nodiscard]] std::string requestNameOf(const decision::RunRequest &run);

/**
 * @brief Checks if an answer belongs to a request.
 * @param answer A backend server's answer.
 * @param requestName Name that the caller gave the request.
 * @return False if the answer names another request, as a late answer to an earlier request does.
 */
[[nodiscard]] bool isAnswerTo(const http::Response &answer, const std::string &requestName);

/*! @brief State that a backend server reports when its health is checked; may be wrong in either direction. */
struct ServerHealth
{
    /*! @brief Incarnation that answered; empty if it did not name itself. */
    std::string instance;
    /*! @brief True if it is healthy and not leaving. */
    bool isServing{};

    friend bool operator==(const ServerHealth &, const ServerHealth &) = default;
};

/**
 * @brief Returns the request that checks the health of a backend server.
 * @param path Path of the health check, as configured for the service.
 * @param host Address of the server.
 */
[[nodiscard]] http::Request writeHealthCheck(const std::string &path, const std::string &host);

/**
 * @brief Reads a backend server's answer to a health check.
 * @param answer The complete answer.
 */
[[nodiscard]] ServerHealth readHealth(const http::Response &answer);

/**
 * @brief Reads a backend server's answer.
 * @param answer The complete answer.
 * @return The answer to forward to the caller, `rejected` if the server reports that it did not execute the request, or `lost`
 *         if the answer cannot be forwarded as that server's own.
 */
[[nodiscard]] std::variant<decision::RunAnswer, decision::RunFailure> readRun(const http::Response &answer);

} // namespace egretlatch::platform

#endif
