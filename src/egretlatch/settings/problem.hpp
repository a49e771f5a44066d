#ifndef EGRETLATCH_SETTINGS_PROBLEM_HPP
#define EGRETLATCH_SETTINGS_PROBLEM_HPP

#include <string>
#include <vector>

namespace egretlatch::settings
{

/*! @brief Severity of a problem; a document with an error cannot be used. */
enum class Severity {
    warning,
    error,
};

/*! @brief A problem in a JSON document written by a person. */
struct Problem
{
    Severity severity{Severity::error};
    /*! @brief Location of the problem, as a JSON pointer (RFC 6901). */
    std::string pointer;
    /*! @brief Description of the present value. */
    std::string found;
    /*! @brief Description of the allowed values. */
    std::string allowed;

    friend bool operator==(const Problem &, const Problem &) = default;
};

using Problems = std::vector<Problem>;

/**
 * @brief Checks for problems that are errors.
 * @param problems The problems of one document.
 * @return True if the document cannot be used.
 */
[[nodiscard]] bool hasError(const Problems &problems);

/**
 * @brief Formats a problem as one readable line.
 * @param file Name of the document.
 * @param problem The problem.
 * @return `file: pointer: error: found X, allowed Y`.
 */
[[nodiscard]] std::string toLine(const std::string &file, const Problem &problem);

} // namespace egretlatch::settings

#endif
