#ifndef EGRETLATCH_DAEMON_HTTP_HEADERS_HPP
#define EGRETLATCH_DAEMON_HTTP_HEADERS_HPP

#include <QByteArray>

namespace egretlatch::daemon
{

/*! @brief Identifies a request across resends (draft-ietf-httpapi-idempotency-key-header). */
constexpr char keyHeader[] = "Idempotency-Key";
/*! @brief Key to resend a request with after a `not-run` refusal, since the refusal closes the old key. */
constexpr char nextKeyHeader[] = "Egretlatch-Next-Key";
/*! @brief Time for which the sender waits for an answer, in milliseconds. */
constexpr char timeoutHeader[] = "Request-Timeout-Ms";
/*! @brief Token of the run that an inner call belongs to. */
constexpr char callHeader[] = "Egretlatch-Call";
/*! @brief Kind of the request, sent to the backend server. */
constexpr char kindHeader[] = "Egretlatch-Kind";
/*! @brief Verdict: `completed`, `not-run` or `may-have-run`. */
constexpr char verdictHeader[] = "Egretlatch-Verdict";
/*! @brief Trace context of the request (W3C Trace Context). */
constexpr char traceHeader[] = "traceparent";

/*! @brief API key of a client account; never forwarded. */
constexpr char apiKeyHeader[] = "Egretlatch-Api-Key";
/*! @brief Client account of the request, sent to the backend server. */
constexpr char accountHeader[] = "Egretlatch-Account";

/**
 * @brief Checks if a header field is forwarded.
 * @param name Name of the field, case-insensitive.
 * @return False for hop-by-hop fields (RFC 9110, 7.6.1) and fields that each hop sets itself.
 */
[[nodiscard]] bool isEndToEnd(const QByteArray &name);

} // namespace egretlatch::daemon

#endif
