#ifndef EGRETLATCH_SETTINGS_PROBLEM_HPP
#define EGRETLATCH_SETTINGS_PROBLEM_HPP

#include <string>
#include <vector>

namespace egretlatch::settings
{

/*! @brief Whether a problem keeps a document from being used. */
enum class Severity {
    warning,
    error,
};

/*! @brief Something wrong in a JSON document that a person wrote. */
struct Problem
{
    Severity severity{Severity::error};
    /*! @brief Where it is, as a JSON pointer (RFC 6901). */
    std::string pointer;
    /*! @brief What stands there. */
    std::string found;
    /*! @brief What may stand there. */
    std::string allowed;

    friend bool operator==(const Problem &, const Problem &) = default;
};

using Problems = std::vector<Problem>;

/**
 * @brief Tells whether any problem is an error.
 * @param problems The problems of one document.
 * @return True if the document cannot be used.
 */
[[nodiscard]] bool hasError(const Problems &problems);

/**
 * @brief Writes a problem as one line for people.
 * @param file Name of the document.
 * @param problem The problem.
 * @return `file: pointer: error: found X, allowed Y`.
 */
[[nodiscard]] std::string toLine(const std::string &file, const Problem &problem);

} // namespace egretlatch::settings

#endif
