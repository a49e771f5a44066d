#ifndef EGRETLATCH_PLATFORM_NAMES_HPP
#define EGRETLATCH_PLATFORM_NAMES_HPP

namespace egretlatch::platform
{

/*! @brief Name of one client attempt; forwarded unchanged to the backend server and returned with its answer. */
inline constexpr const char *requestIdHeader = "X-Request-Id";
/*! @brief Time that the sender waits, in milliseconds. */
inline constexpr const char *deadlineHeader = "X-Deadline-Ms";
/*! @brief Service on whose VM the request originated. */
inline constexpr const char *callerServiceHeader = "X-Caller-Service";
/*! @brief Only incarnation of a backend server that may execute the request. */
inline constexpr const char *expectedInstanceHeader = "X-Expected-Instance";
/*! @brief API key of a client account; never forwarded. */
inline constexpr const char *apiKeyHeader = "X-Key";
/*! @brief Client account of a request, as told to backend servers. */
inline constexpr const char *accountHeader = "X-Tenant-Id";
/*! @brief Incarnation of a backend server, in its answers to health checks and in 421. */
/*! @brief Signature of a backend server on its answer. */
inline constexpr const char *serverStampHeader = "X-Server-Stamp";
/*! @brief Present if the backend server did not execute the request. */
inline constexpr const char *notExecutedHeader = "X-Not-Executed";
/*! @brief Requests per second that the backend server takes from all daemons together, in its answers. */
inline constexpr const char *serverLimitHeader = "Server-Limit";
/*! @brief `1` in the answers of a backend server that is about to leave. */
inline constexpr const char *serverLeavingHeader = "Server-Leaving";
inline constexpr const char *contentEncodingHeader = "Content-Encoding";
inline constexpr const char *retryAfterHeader = "Retry-After";

inline constexpr const char *instancesPath = "/api/instances/";

/*! @brief Table written by the operators; its row `config` holds the newest configuration. */
inline constexpr const char *operatorTable = "op";
inline constexpr const char *configurationKey = "config";
/*! @brief Table of egretlatch's own rows. */
inline constexpr const char *ownTable = "egretlatch";

} // namespace egretlatch::platform

#endif
