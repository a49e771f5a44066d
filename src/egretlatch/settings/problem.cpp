#include <egretlatch/settings/problem.hpp>

#include <algorithm>

#include <fmt/format.h>

namespace egretlatch::settings
{

bool hasError(const Problems &problems)
{
    return std::any_of(problems.begin(), problems.end(), [](const Problem &problem) {
        return problem.severity == Severity::error;
    });
}

std::string toLine(const std::string &file, const Problem &problem)
{
    const char *const severity = problem.severity == Severity::error ? "error" : "warning";
    const std::string pointer = problem.pointer.empty() ? "(whole document)" : problem.pointer;
    return fmt::format("{}: {}: {}: found {}, allowed {}", file, pointer, severity, problem.found, problem.allowed);
}

} // namespace egretlatch::settings
