#ifndef EGRETLATCH_ACCOUNT_SPAN_HPP
#define EGRETLATCH_ACCOUNT_SPAN_HPP

#include <optional>
#include <string>

#include <egretlatch/account/refusal.hpp>
#include <egretlatch/account/trace_context.hpp>
#include <egretlatch/core/clock.hpp>
#include <egretlatch/core/verdict.hpp>

namespace egretlatch::account
{

/*! @brief Hop that a span covers. */
enum class Hop {
    /*! @brief The entry daemon's handling, from the caller's request to its answer. */
    entry,
    /*! @brief One attempt, from the daemon that sends it to the serving daemon and back. */
    attempt,
    /*! @brief Waiting for a slot and running at the backend server. */
    serving,
};

/**
 * @brief Returns the name used in exported spans.
 * @param hop The hop.
 * @return One of `entry`, `attempt`, `serving`.
 */
[[nodiscard]] std::string_view toString(Hop hop) noexcept;

/*! @brief Finished span of a trace. */
struct Span
{
    TraceContext context;
    /*! @brief Id of the parent span; empty for the root span. */
    std::string parentSpanId;
    Hop hop{};
    std::string service;
    std::string kind;
    SteadyTime started;
    SteadyTime ended;
    Verdict verdict{};
    int status{};
    std::optional<RefusalReason> refusal;

    friend bool operator==(const Span &, const Span &) = default;
};

} // namespace egretlatch::account

#endif
