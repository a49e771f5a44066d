#ifndef EGRETLATCH_DAEMON_PARSE_CALL_HPP
#define EGRETLATCH_DAEMON_PARSE_CALL_HPP

#include <string>

#include <QHttpServerRequest>
#include <QLatin1String>

#include <tl/expected.hpp>

#include <egretlatch/decision/event.hpp>

namespace egretlatch::daemon
{

/*! @brief Begin of the path of each call. */
inline constexpr QLatin1String callPrefix{"/call/"};

/**
 * @brief Reads a call from the HTTP request of a caller.
 * @param request Request whose path begins with callPrefix.
 * @return The call, or a sentence that tells the caller what is wrong with the request.
 */
[[nodiscard]] tl::expected<decision::CallerCall, std::string> parseCall(const QHttpServerRequest &request);

} // namespace egretlatch::daemon

#endif
