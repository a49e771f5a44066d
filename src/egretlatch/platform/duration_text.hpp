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

/**
 * @brief Parses a time of the store's clock, written like a duration.
 * @param text The text.
 * @return The time since the clock's origin, rounded down to milliseconds; nothing if the text has another form or is negative.
 */
[[nodiscard]] std::optional<std::chrono::milliseconds> parseStoreClock(std::string_view text);

} // namespace egretlatch::platform

#endif
