#ifndef EGRETLATCH_PLATFORM_NAMES_HPP
#define EGRETLATCH_PLATFORM_NAMES_HPP

namespace egretlatch::platform
{

/*! @brief Names one client attempt; travels unchanged to the backend server and back. */
inline constexpr const char *requestIdHeader = "X-Request-Id";
/*! @brief Milliseconds that the sender will wait. */
inline constexpr const char *deadlineHeader = "X-Deadline-Ms";
/*! @brief Service beside which the request began. */
inline constexpr const char *callerServiceHeader = "X-Caller-Service";
/*! @brief The one life of a backend server that may run the request. */
inline constexpr const char *expectedInstanceHeader = "X-Expected-Instance";
/*! @brief Signature of a backend server under its answer. */
inline constexpr const char *serverStampHeader = "X-Server-Stamp";
/*! @brief The backend server did not run the request. */
inline constexpr const char *notExecutedHeader = "X-Not-Executed";
inline constexpr const char *contentEncodingHeader = "Content-Encoding";
inline constexpr const char *retryAfterHeader = "Retry-After";

inline constexpr const char *instancesPath = "/api/instances/";

/*! @brief Table that the operators write; its row `config` holds the newest configuration. */
inline constexpr const char *operatorTable = "op";
inline constexpr const char *configurationKey = "config";
/*! @brief Table of this project's own rows. */
inline constexpr const char *ownTable = "egretlatch";

} // namespace egretlatch::platform

#endif
