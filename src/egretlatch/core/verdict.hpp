#ifndef EGRETLATCH_CORE_VERDICT_HPP
#define EGRETLATCH_CORE_VERDICT_HPP

#include <optional>
#include <string_view>

namespace egretlatch
{

/*! @brief Proven execution state of a request. */
enum class Verdict {
    /*! @brief The backend server answered the request. */
    completed,
    /*! @brief No attempt with this request key has run, and none can run from now on. */
    notRun,
    /*! @brief An attempt may have run or may still run; neither can be ruled out. */
    mayHaveRun,
};

/**
 * @brief Returns the name used in headers and records.
 * @param verdict The verdict to name.
 * @return One of `completed`, `not-run`, `may-have-run`.
 */
[[nodiscard]] std::string_view toString(Verdict verdict) noexcept;

/**
 * @brief Parses the name of a verdict.
 * @param name One of the names that toString() returns.
 * @return The verdict, or nothing for any other name.
 */
[[nodiscard]] std::optional<Verdict> verdictFromString(std::string_view name) noexcept;

} // namespace egretlatch

#endif
