#ifndef STANDIN_LOAD_ATTEMPT_OUTCOME_HPP
#define STANDIN_LOAD_ATTEMPT_OUTCOME_HPP

#include <string>
#include <string_view>

#include <load/http_reply.hpp>

namespace standin::load
{

/*! @brief What an attempt, or a request by its last attempt, came to. */
enum class OutcomeClass {
    /*! @brief The whole answer to this very request came back. */
    completed,
    /*! @brief The system says that the request has not run. */
    refused,
    /*! @brief The system says that the request may have run. */
    mayHaveRun,
    /*! @brief No verdict came, or an error from the backend server. */
    failed,
    /*! @brief The caller closed the connection on purpose. */
    cancelled,
};

/**
 * @brief Gives the name used in results.
 * @param outcomeClass The class.
 * @return A name in lower case with dashes.
 */
[[nodiscard]] std::string_view toString(OutcomeClass outcomeClass) noexcept;

/*! @brief An attempt's class and what brought it about. */
struct AttemptOutcome
{
    OutcomeClass outcomeClass{OutcomeClass::failed};
    /*! @brief The system's reason for a refusal, or a word such as `no-answer`; empty if completed. */
    std::string cause;

    friend bool operator==(const AttemptOutcome &, const AttemptOutcome &) = default;
};

/**
 * @brief Judges what came back on an attempt.
 * @param reply What came back.
 * @param body Body that was sent; an answer without it belongs to another request.
 * @return The outcome; `wrong-answer` for an answer that belongs to another request.
 */
[[nodiscard]] AttemptOutcome classifyReply(const HttpReply &reply, const std::string &body);

/**
 * @brief Reads the key that a daemon minted.
 * @param reply Answer to `POST /keys/{service}/{kind}`.
 * @return The key, or an empty text if there is none in the answer.
 */
[[nodiscard]] std::string parseMintedKey(const HttpReply &reply);

} // namespace standin::load

#endif
