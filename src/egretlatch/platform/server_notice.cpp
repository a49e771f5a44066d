#include <egretlatch/platform/server_notice.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

#include <egretlatch/platform/names.hpp>

namespace egretlatch::platform
{

namespace internal
{

constexpr const char *isLeavingValue = "1";

[[nodiscard]] static std::optional<double> limitOf(const std::string &text)
{
    double value = 0.0;
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool isNumber = parsed.ec == std::errc{} && parsed.ptr == end && std::isfinite(value);
    return isNumber && value >= 0.0 ? std::optional{value} : std::nullopt;
}

static void addLimit(decision::ServerNotice &notice, const std::string &text)
{
    const std::optional<double> limit = limitOf(text);
    if (!limit.has_value()) {
        notice.hasUnreadableLimit = true;
        return;
    }
    notice.requestsPerSecond = std::min(*limit, notice.requestsPerSecond.value_or(*limit));
}

} // namespace internal

decision::ServerNotice readServerNotice(const Headers &headers)
{
    decision::ServerNotice notice;
    for (const Header &header : headers) {
        if (http::isSameName(header.name, serverLimitHeader)) {
            internal::addLimit(notice, header.value);
        } else if (http::isSameName(header.name, serverLeavingHeader)) {
            notice.isLeaving = notice.isLeaving || header.value == internal::isLeavingValue;
        }
    }
    return notice;
}

} // namespace egretlatch::platform
