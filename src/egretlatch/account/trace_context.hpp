#ifndef EGRETLATCH_ACCOUNT_TRACE_CONTEXT_HPP
#define EGRETLATCH_ACCOUNT_TRACE_CONTEXT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <egretlatch/core/random_source.hpp>

namespace egretlatch::account
{

/*! @brief Place of a call in a trace, as in W3C Trace Context. */
struct TraceContext
{
    /*! @brief 32 hexadecimal digits, in lower case. */
    std::string traceId;
    /*! @brief 16 hexadecimal digits, in lower case; the span that the next hop is a child of. */
    std::string spanId;
    bool sampled{};

    friend bool operator==(const TraceContext &, const TraceContext &) = default;
};

/**
 * @brief Reads a `traceparent` header.
 * @param header Value of the header.
 * @return The context, or nothing if the header is malformed.
 */
[[nodiscard]] std::optional<TraceContext> parseTraceParent(std::string_view header);

/**
 * @brief Writes a `traceparent` header.
 * @param context The context.
 * @return Value of the header, version 00.
 */
[[nodiscard]] std::string toTraceParent(const TraceContext &context);

/**
 * @brief Starts a trace.
 * @param random Source of the ids.
 * @return A sampled context with new ids.
 */
[[nodiscard]] TraceContext startTrace(RandomSource &random);

/**
 * @brief Steps one hop down.
 * @param parent The context of the hop above.
 * @param random Source of the new span's id.
 * @return The same trace with a new span.
 */
[[nodiscard]] TraceContext childOf(const TraceContext &parent, RandomSource &random);

} // namespace egretlatch::account

#endif
