#ifndef EGRETLATCH_DAEMON_HTTP_HEADERS_HPP
#define EGRETLATCH_DAEMON_HTTP_HEADERS_HPP

#include <QByteArray>

namespace egretlatch::daemon
{

/*! @brief Names a request across resends (draft-ietf-httpapi-idempotency-key-header). */
constexpr char keyHeader[] = "Idempotency-Key";
/*! @brief With a refusal as not run: the key to resend with, since the old one is closed. */
constexpr char nextKeyHeader[] = "Egretlatch-Next-Key";
/*! @brief Time that the sender waits for an answer, in milliseconds. */
constexpr char timeoutHeader[] = "Request-Timeout-Ms";
/*! @brief The run that an inner call belongs to. */
constexpr char callHeader[] = "Egretlatch-Call";
/*! @brief Request kind, for the backend server. */
constexpr char kindHeader[] = "Egretlatch-Kind";
/*! @brief Whether the request has run. */
constexpr char verdictHeader[] = "Egretlatch-Verdict";
/*! @brief Place in the trace (W3C Trace Context). */
constexpr char traceHeader[] = "traceparent";

/**
 * @brief Tells whether a header field is passed on.
 * @param name Name of the field, in any case.
 * @return False for the fields that belong to one connection (RFC 9110, 7.6.1) and those that each hop sets anew.
 */
[[nodiscard]] bool isEndToEnd(const QByteArray &name);

} // namespace egretlatch::daemon

#endif
