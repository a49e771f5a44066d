#ifndef EGRETLATCH_PLATFORM_DURATION_TEXT_HPP
#define EGRETLATCH_PLATFORM_DURATION_TEXT_HPP

#include <chrono>
#include <optional>
#include <string_view>

namespace egretlatch::platform
{

/**
 * @brief Reads a span of time such as `1500ms` or `2.5s`.
 * @param text The text.
 * @return The span, to the millisecond, or nothing if it has another form or is negative.
 */
[[nodiscard]] std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

} // namespace egretlatch::platform

#endif
