#ifndef EGRETLATCH_PLATFORM_SERVER_WIRE_HPP
#define EGRETLATCH_PLATFORM_SERVER_WIRE_HPP

#include <string>
#include <variant>

#include <egretlatch/decision/action.hpp>
#include <egretlatch/decision/event.hpp>
#include <egretlatch/http/answer_pairing.hpp>
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
 * @brief Pairs an answer with a request by the name that servers echo.
 * @param answer A backend server's answer.
 * @param requestName Name that the caller gave the request.
 * @return The pairing; `unnamed` for some servers' rejections.
 */
[[nodiscard]] http::AnswerPairing pairAnswer(const http::Response &answer, const std::string &requestName);

/**
 * @brief Reads a backend server's answer.
 * @param answer The complete answer.
 * @return The answer to forward to the caller, `rejected` if the server reports that it did not execute the request, or `lost`
 *         if the answer cannot be forwarded as that server's own.
 */
[[nodiscard]] std::variant<decision::RunAnswer, decision::RunFailure> readRun(const http::Response &answer);

} // namespace egretlatch::platform

#endif
