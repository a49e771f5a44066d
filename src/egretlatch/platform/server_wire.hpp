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
 * @brief Puts a request into the backend server's HTTP.
 * @param run The request.
 * @param instance The life of the backend server that is to run it; empty if it is not known.
 */
[[nodiscard]] http::Request writeRun(const decision::RunRequest &run, const std::string &instance);

/**
 * @brief Gives the caller's own name of a request.
 * @param run The request.
 * @return The name; empty if there is none.
 */
[[nodiscard]] std::string requestNameOf(const decision::RunRequest &run);

/**
 * @brief Tells whether an answer belongs to a request.
 * @param answer A backend server's answer.
 * @param requestName The caller's own name of the request.
 * @return False for the late answer of an earlier request.
 */
[[nodiscard]] bool isAnswerTo(const http::Response &answer, const std::string &requestName);

/**
 * @brief Reads what a backend server answered.
 * @param answer The whole answer.
 * @return The answer as the caller is to get it, `rejected` if the server says that it did not run the request, or `lost` if
 *         what came cannot be passed on as that server's word.
 */
[[nodiscard]] std::variant<decision::RunAnswer, decision::RunFailure> readRun(const http::Response &answer);

} // namespace egretlatch::platform

#endif
