#ifndef EGRETLATCH_MEMBERSHIP_INCARNATION_NAME_HPP
#define EGRETLATCH_MEMBERSHIP_INCARNATION_NAME_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace egretlatch::membership
{

/**
 * @brief Returns the name of one incarnation of a backend server.
 * @param instance Id of the server, which a restart may reuse.
 * @param startedAtMs Start of the incarnation, in milliseconds of the calendar clock; 0 if the server does not report it.
 * @return The name, in the form `INSTANCE#START`.
 */
[[nodiscard]] std::string incarnationName(std::string_view instance, std::int64_t startedAtMs);

/**
 * @brief Returns what the names of all incarnations of a server begin with, for a name without a start.
 * @param name Name of an incarnation.
 * @return The common beginning; nothing if the name has a start.
 */
[[nodiscard]] std::optional<std::string_view> prefixWithoutStart(std::string_view name);

} // namespace egretlatch::membership

#endif
