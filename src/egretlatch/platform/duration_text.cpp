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

} // namespace internal

std::optional<std::chrono::milliseconds> parseDuration(const std::string_view text)
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
    const double milliseconds = unit == "s" ? number * internal::millisecondsInSecond : number;
    if (!(milliseconds >= 0.0) || milliseconds > internal::maxMilliseconds) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{std::llround(milliseconds)};
}

} // namespace egretlatch::platform
