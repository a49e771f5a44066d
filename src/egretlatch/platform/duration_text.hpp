#ifndef EGRETLATCH_PLATFORM_DURATION_TEXT_HPP
#define EGRETLATCH_PLATFORM_DURATION_TEXT_HPP

#include <chrono>
#include <optional>
#include <string_view>

namespace egretlatch::platform
{

/**
 * @brief Parses a duration such as `1500ms` or `2.5s`.
 * @param text The text.
 * @return The duration, rounded to milliseconds; nothing if the text has another form, is negative or exceeds one day.
 */
[[nodiscard]] std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

} // namespace egretlatch::platform

#endif
