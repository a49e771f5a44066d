#include <egretlatch/platform/caller_wire.hpp>

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include <egretlatch/core/secret.hpp>

#include <egretlatch/platform/names.hpp>

namespace egretlatch::platform
{

namespace internal
{

constexpr int badGateway = 502;
constexpr int serviceUnavailable = 503;
constexpr int gatewayTimeout = 504;
constexpr int tooManyRequests = 429;
constexpr double millisecondsInSecond = 1000.0;
// Observed names of inner calls consist of the name of the calling request, a dot and this many hexadecimal digits.
constexpr std::size_t innerSuffixDigits = 16;

[[nodiscard]] static std::string parentOf(const std::string &name)
{
    const std::size_t dot = name.rfind('.');
    if (dot == std::string::npos || dot == 0 || name.size() - dot - 1 != innerSuffixDigits) {
        return {};
    }
    const bool isHex = std::all_of(name.begin() + static_cast<std::ptrdiff_t>(dot) + 1, name.end(), [](const unsigned char letter) {
        return std::isxdigit(letter) != 0;
    });
    return isHex ? name.substr(0, dot) : std::string{};
}

[[nodiscard]] static std::optional<std::chrono::milliseconds> millisecondsOf(const std::string *const text)
{
    if (text == nullptr) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
    if (parsed.ec != std::errc{} || value <= 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{value};
}

// Longer texts are no keys, and would cost time to hash.
constexpr std::size_t maxKeyBytes = 1024;

[[nodiscard]] static int statusOf(const decision::CallerAnswer &answer)
{
    if (!answer.refusal.has_value()) {
        return answer.status;
    }
    if (answer.verdict == Verdict::notRun) {
        return account::isOverload(answer.refusal->reason) ? tooManyRequests : serviceUnavailable;
    }
    return answer.refusal->reason == account::RefusalReason::deadlinePassed ? gatewayTimeout : badGateway;
}

} // namespace internal

CallerRequest readCaller(const http::Request &request)
{
    CallerRequest caller;
    if (const std::string *const host = http::findHeader(request.headers, "host")) {
        caller.host = *host;
    }
    caller.path = request.target.substr(0, request.target.find('?'));
    if (const std::string *const name = http::findHeader(request.headers, requestIdHeader)) {
        caller.name = *name;
        caller.parentName = internal::parentOf(*name);
    }
    caller.timeout = internal::millisecondsOf(http::findHeader(request.headers, deadlineHeader));
    return caller;
}

ApiKeyClaim readApiKey(const Headers &headers)
{
    const auto isKey = [](const Header &header) {
        return http::isSameName(header.name, apiKeyHeader);
    };
    const auto key = std::find_if(headers.begin(), headers.end(), isKey);
    if (key == headers.end()) {
        return {};
    }
    const bool hasSeveral = std::count_if(headers.begin(), headers.end(), isKey) > 1;
    if (hasSeveral || key->value.size() > internal::maxKeyBytes) {
        return {.digest = {}, .isInvalid = true};
    }
    return {.digest = Secret{key->value}.digest(), .isInvalid = false};
}

Headers headersForServer(const Headers &headers, const std::string &ownService, const bool hasAccounts)
{
    Headers kept = http::forwardable(headers);
    std::erase_if(kept, [hasAccounts](const Header &header) {
        const bool isOfAccount = http::isSameName(header.name, apiKeyHeader) || http::isSameName(header.name, accountHeader);
        return (hasAccounts && isOfAccount) || http::isSameName(header.name, deadlineHeader) || http::isSameName(header.name, callerServiceHeader)
            || http::isSameName(header.name, expectedInstanceHeader);
    });
    kept.push_back({.name = callerServiceHeader, .value = ownService});
    return kept;
}

http::Response writeAnswer(const decision::CallerAnswer &answer, const std::string &requestName)
{
    http::Response response;
    response.status = internal::statusOf(answer);
    response.headers = answer.headers;
    response.body = answer.body;
    const bool isOwn = answer.refusal.has_value() || !answer.requestError.empty();
    if (isOwn && !requestName.empty()) {
        response.headers.push_back({.name = requestIdHeader, .value = requestName});
    }
    if (!answer.refusal.has_value()) {
        return response;
    }
    if (answer.verdict == Verdict::notRun && answer.refusal->retryAfter.count() > 0) {
        const double seconds = static_cast<double>(answer.refusal->retryAfter.count()) / internal::millisecondsInSecond;
        response.headers.push_back({.name = retryAfterHeader, .value = fmt::format("{:.3f}", seconds)});
    }
    const std::string text = fmt::format("{}: {}\n", account::toString(answer.refusal->reason), answer.refusal->rule);
    response.headers.push_back({.name = "Content-Type", .value = "text/plain"});
    response.body = QByteArray::fromStdString(text);
    return response;
}

} // namespace egretlatch::platform
