#include <egretlatch/core/verdict.hpp>

namespace egretlatch
{

std::string_view toString(const Verdict verdict) noexcept
{
    switch (verdict) {
    case Verdict::completed:
        return "completed";
    case Verdict::notRun:
        return "not-run";
    case Verdict::mayHaveRun:
        return "may-have-run";
    }
    return "may-have-run";
}

std::optional<Verdict> verdictFromString(const std::string_view name) noexcept
{
    for (const Verdict verdict : {Verdict::completed, Verdict::notRun, Verdict::mayHaveRun}) {
        if (toString(verdict) == name) {
            return verdict;
        }
    }
    return std::nullopt;
}

} // namespace egretlatch
