#ifndef EGRETLATCH_DAEMON_PROBLEM_DOCUMENT_HPP
#define EGRETLATCH_DAEMON_PROBLEM_DOCUMENT_HPP

#include <QByteArray>

#include <egretlatch/core/header.hpp>
#include <egretlatch/decision/action.hpp>

namespace egretlatch::daemon
{

/**
 * @brief Returns the headers of an answer that the daemon generates itself.
 * @param answer Refusal, or answer to an invalid request.
 * @return `Content-Type`, `Egretlatch-Verdict` and, where they apply, `Egretlatch-Next-Key` and `Retry-After`.
 */
[[nodiscard]] Headers problemHeaders(const decision::CallerAnswer &answer);

/**
 * @brief Returns the body of an answer that the daemon generates itself.
 * @param answer Refusal, or answer to an invalid request.
 * @return A problem document (RFC 9457) as JSON.
 */
[[nodiscard]] QByteArray problemBody(const decision::CallerAnswer &answer);

} // namespace egretlatch::daemon

#endif
