#include <egretlatch/membership/incarnation_name.hpp>

#include <fmt/format.h>

namespace egretlatch::membership
{

std::string incarnationName(const std::string_view instance, const std::int64_t startedAtMs)
{
    return fmt::format("{}#{}", instance, startedAtMs);
}

std::optional<std::string_view> prefixWithoutStart(const std::string_view name)
{
    constexpr std::string_view unknownStart{"#0"};
    return name.ends_with(unknownStart) ? std::optional{name.substr(0, name.size() - 1)} : std::nullopt;
}

} // namespace egretlatch::membership
