#include <egretlatch/account/trace_context.hpp>

#include <algorithm>

#include <fmt/format.h>

namespace egretlatch::account
{

namespace internal
{

constexpr std::size_t traceIdSize = 32;
constexpr std::size_t spanIdSize = 16;
constexpr std::size_t traceIdStart = 3;
constexpr std::size_t spanIdStart = traceIdStart + traceIdSize + 1;
constexpr std::size_t flagsStart = spanIdStart + spanIdSize + 1;
constexpr std::size_t headerSize = flagsStart + 2;

[[nodiscard]] static bool isLowerHex(const std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](const char digit) {
        return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
    });
}

[[nodiscard]] static bool isZero(const std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

[[nodiscard]] static bool hasDashes(const std::string_view header)
{
    return header[traceIdStart - 1] == '-' && header[spanIdStart - 1] == '-' && header[flagsStart - 1] == '-';
}

} // namespace internal

std::optional<TraceContext> parseTraceParent(const std::string_view header)
{
    if (header.size() != internal::headerSize || !internal::hasDashes(header)) {
        return std::nullopt;
    }
    const std::string_view version = header.substr(0, 2);
    const std::string_view traceId = header.substr(internal::traceIdStart, internal::traceIdSize);
    const std::string_view spanId = header.substr(internal::spanIdStart, internal::spanIdSize);
    const std::string_view flags = header.substr(internal::flagsStart);
    const bool isHex = internal::isLowerHex(version) && internal::isLowerHex(traceId) && internal::isLowerHex(spanId) && internal::isLowerHex(flags);
    if (!isHex || version == "ff" || internal::isZero(traceId) || internal::isZero(spanId)) {
        return std::nullopt;
    }
    const char lastDigit = flags.back();
    const int value = lastDigit <= '9' ? lastDigit - '0' : lastDigit - 'a' + 10;
    return TraceContext{.traceId = std::string{traceId}, .spanId = std::string{spanId}, .sampled = (value & 1) != 0};
}

std::string toTraceParent(const TraceContext &context)
{
    return fmt::format("00-{}-{}-{}", context.traceId, context.spanId, context.sampled ? "01" : "00");
}

TraceContext startTrace(RandomSource &random)
{
    return {
        .traceId = fmt::format("{:016x}{:016x}", random.next() | 1, random.next()),
        .spanId = fmt::format("{:016x}", random.next() | 1),
        .sampled = true,
    };
}

TraceContext childOf(const TraceContext &parent, RandomSource &random)
{
    return {.traceId = parent.traceId, .spanId = fmt::format("{:016x}", random.next() | 1), .sampled = parent.sampled};
}

} // namespace egretlatch::account
