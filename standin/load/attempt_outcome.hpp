#ifndef STANDIN_LOAD_ATTEMPT_OUTCOME_HPP
#define STANDIN_LOAD_ATTEMPT_OUTCOME_HPP

#include <string>
#include <string_view>

#include <load/http_reply.hpp>

namespace standin::load
{

/*! @brief Classification of the result of an attempt; a request has the class of its last attempt. */
enum class OutcomeClass {
    /*! @brief The complete answer to this request was received. */
    completed,
    /*! @brief The system reported that the request was not run, or no request key was available to send it with. */
    refused,
    /*! @brief The system reported that the request may have run. */
    mayHaveRun,
    /*! @brief No valid verdict was received, the backend server answered with an error, or the answer belongs to another request. */
    failed,
    /*! @brief The caller closed the connection deliberately. */
    cancelled,
};

/**
 * @brief Returns the name of a class as used in results.
 * @param outcomeClass The class.
 * @return Name in lower case, with words separated by dashes.
 */
[[nodiscard]] std::string_view toString(OutcomeClass outcomeClass) noexcept;

/*! @brief Outcome of an attempt: its class and the cause. */
struct AttemptOutcome
{
    OutcomeClass outcomeClass{OutcomeClass::failed};
    /*! @brief Reason in the refusal, or an identifier such as `no-answer`; empty if completed. */
    std::string cause;

    friend bool operator==(const AttemptOutcome &, const AttemptOutcome &) = default;
};

/**
 * @brief Classifies the reply to an attempt.
 * @param reply The reply.
 * @param body Request body; backend servers echo it, so an answer with a different body belongs to another request.
 * @return The outcome; its cause is `wrong-answer` for an answer that belongs to another request.
 */
[[nodiscard]] AttemptOutcome classifyReply(const HttpReply &reply, const std::string &body);

/**
 * @brief Extracts the request key minted by a daemon.
 * @param reply Reply to `POST /keys/{service}/{kind}`.
 * @return The key, or an empty string if the exchange failed or the answer contains none.
 */
[[nodiscard]] std::string parseMintedKey(const HttpReply &reply);

} // namespace standin::load

#endif
