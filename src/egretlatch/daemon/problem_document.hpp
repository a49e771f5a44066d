#ifndef EGRETLATCH_DAEMON_PROBLEM_DOCUMENT_HPP
#define EGRETLATCH_DAEMON_PROBLEM_DOCUMENT_HPP

#include <QByteArray>

#include <egretlatch/core/header.hpp>
#include <egretlatch/decision/action.hpp>

namespace egretlatch::daemon
{

/**
 * @brief Gives the headers of an answer that the system makes itself.
 * @param answer A refusal, or an answer to a request that was wrong.
 * @return `Content-Type`, `Egretlatch-Verdict` and, where it helps to come back, `Retry-After`.
 */
[[nodiscard]] Headers problemHeaders(const decision::CallerAnswer &answer);

/**
 * @brief Gives the body of an answer that the system makes itself.
 * @param answer A refusal, or an answer to a request that was wrong.
 * @return A problem document (RFC 9457) as JSON.
 */
[[nodiscard]] QByteArray problemBody(const decision::CallerAnswer &answer);

} // namespace egretlatch::daemon

#endif
