#include <egretlatch/platform/duration_text.hpp>

#include <charconv>
#include <cmath>

namespace egretlatch::platform
{

namespace internal
{

constexpr double millisecondsInSecond = 1000.0;
// One day; longer durations are rejected as errors.
constexpr double maxMilliseconds = 86'400'000.0;

// About ten thousand years; a larger number is no time.
constexpr double maxClockMilliseconds = 3.15e14;

[[nodiscard]] static std::optional<double> parseMilliseconds(const std::string_view text)
{
    double number = 0.0;
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, std::chars_format::fixed);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    const std::string_view unit{parsed.ptr, static_cast<std::size_t>(end - parsed.ptr)};
    if (unit != "ms" && unit != "s") {
        return std::nullopt;
    }
    const double milliseconds = unit == "s" ? number * millisecondsInSecond : number;
    return milliseconds >= 0.0 ? std::optional{milliseconds} : std::nullopt;
}

} // namespace internal

std::optional<std::chrono::milliseconds> parseDuration(const std::string_view text)
{
    const std::optional<double> milliseconds = internal::parseMilliseconds(text);
    if (!milliseconds.has_value() || *milliseconds > internal::maxMilliseconds) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{std::llround(*milliseconds)};
}

std::optional<std::chrono::milliseconds> parseStoreClock(const std::string_view text)
{
    const std::optional<double> milliseconds = internal::parseMilliseconds(text);
    if (!milliseconds.has_value() || *milliseconds > internal::maxClockMilliseconds) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{static_cast<std::int64_t>(std::floor(*milliseconds))};
}

} // namespace egretlatch::platform
