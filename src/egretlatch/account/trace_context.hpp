#ifndef EGRETLATCH_ACCOUNT_TRACE_CONTEXT_HPP
#define EGRETLATCH_ACCOUNT_TRACE_CONTEXT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <egretlatch/core/random_source.hpp>

namespace egretlatch::account
{

/*! @brief Trace context of a call, as defined by W3C Trace Context. */
struct TraceContext
{
    /*! @brief 32 hexadecimal digits, in lower case. */
    std::string traceId;
    /*! @brief 16 hexadecimal digits, in lower case; the parent span of the next hop. */
    std::string spanId;
    bool sampled{};

    friend bool operator==(const TraceContext &, const TraceContext &) = default;
};

/**
 * @brief Parses a `traceparent` header.
 * @param header Value of the header.
 * @return Context, or nothing if the header is malformed.
 */
[[nodiscard]] std::optional<TraceContext> parseTraceParent(std::string_view header);

/**
 * @brief Formats a `traceparent` header.
 * @param context Context to format.
 * @return Value of the header, version 00.
 */
[[nodiscard]] std::string toTraceParent(const TraceContext &context);

/**
 * @brief Starts a trace.
 * @param random Source of the trace and span ids.
 * @return Sampled context with new ids.
 */
[[nodiscard]] TraceContext startTrace(RandomSource &random);

/**
 * @brief Creates the context of a child span.
 * @param parent Context of the parent span.
 * @param random Source of the new span id.
 * @return Context with the same trace and a new span id.
 */
[[nodiscard]] TraceContext childOf(const TraceContext &parent, RandomSource &random);

} // namespace egretlatch::account

#endif
