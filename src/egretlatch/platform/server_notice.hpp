#ifndef EGRETLATCH_PLATFORM_SERVER_NOTICE_HPP
#define EGRETLATCH_PLATFORM_SERVER_NOTICE_HPP

#include <egretlatch/decision/server_notice.hpp>
#include <egretlatch/http/message.hpp>

namespace egretlatch::platform
{

/**
 * @brief Reads the statements of a backend server about itself in an answer.
 *
 * A limit is a decimal number of at least zero; of several, the lowest counts. Any other text is unreadable.
 * @param headers Header fields of the answer.
 * @return The notice.
 */
[[nodiscard]] decision::ServerNotice readServerNotice(const Headers &headers);

} // namespace egretlatch::platform

#endif
