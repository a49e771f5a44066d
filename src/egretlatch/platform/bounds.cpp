#include <egretlatch/platform/bounds.hpp>

#include <charconv>
#include <optional>
#include <string_view>

#include <egretlatch/platform/duration_text.hpp>

namespace egretlatch::platform
{

namespace internal
{

[[nodiscard]] static std::optional<double> parseNumber(const std::string_view text)
{
    double number = 0.0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc{} && number >= 0.0 ? std::optional{number} : std::nullopt;
}

} // namespace internal

settings::FleetBounds readBounds(const std::vector<std::string> &entries)
{
    settings::FleetBounds bounds;
    for (const std::string &text : entries) {
        const std::size_t equals = text.find('=');
        if (equals == std::string::npos) {
            continue;
        }
        const std::string_view name = std::string_view{text}.substr(0, equals);
        const std::string_view value = std::string_view{text}.substr(equals + 1);
        if (name == "grace") {
            bounds.grace = parseDuration(value).value_or(bounds.grace);
        } else if (name == "drain") {
            bounds.drain = parseDuration(value).value_or(bounds.drain);
        } else if (name == "retry_budget_ratio") {
            bounds.retryRatio = internal::parseNumber(value).value_or(bounds.retryRatio);
        } else if (name == "budget_slack") {
            bounds.retrySlack = internal::parseNumber(value).value_or(bounds.retrySlack);
        } else if (name == "config_apply") {
            bounds.configurationApply = parseDuration(value).value_or(bounds.configurationApply);
        } else if (name == "revoke_strict") {
            bounds.isWithdrawalStrict = value == "true";
        } else if (name == "revoke") {
            bounds.withdrawal = parseDuration(value).value_or(bounds.withdrawal);
        } else if (name == "quota_window") {
            bounds.quotaWindow = parseDuration(value).value_or(bounds.quotaWindow);
        } else if (name == "quota_overage") {
            bounds.quotaOverage = internal::parseNumber(value).value_or(bounds.quotaOverage);
        } else if (name == "quota_slack") {
            bounds.quotaSlack = internal::parseNumber(value).value_or(bounds.quotaSlack);
        }
    }
    return bounds;
}

} // namespace egretlatch::platform
