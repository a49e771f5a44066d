#include <egretlatch/platform/server_wire.hpp>

#include <algorithm>
#include <array>

#include <egretlatch/platform/names.hpp>

namespace egretlatch::platform
{

namespace internal
{

constexpr int firstSuccess = 200;
constexpr int firstRedirect = 300;
// Statuses that promise callers that the request has not run and will not run.
constexpr std::array<int, 4> notRunStatuses{408, 421, 429, 503};

[[nodiscard]] static bool promisesNotRun(const int status)
{
    return std::find(notRunStatuses.begin(), notRunStatuses.end(), status) != notRunStatuses.end();
}

} // namespace internal

http::Request writeRun(const decision::RunRequest &run, const std::string &instance)
{
    http::Request request;
    request.method = run.method;
    request.target = run.path;
    request.headers = run.headers;
    request.body = run.body;
    const auto remaining = std::max(std::chrono::duration_cast<std::chrono::milliseconds>(run.remaining), std::chrono::milliseconds{1});
    request.headers.push_back({.name = deadlineHeader, .value = std::to_string(remaining.count())});
    if (!run.account.empty()) {
        request.headers.push_back({.name = accountHeader, .value = run.account});
    }
    if (!instance.empty()) {
        request.headers.push_back({.name = expectedInstanceHeader, .value = instance});
    }
    return request;
}

std::string requestNameOf(const decision::RunRequest &run)
{
    const std::string *const name = http::findHeader(run.headers, requestIdHeader);
    return name == nullptr ? std::string{} : *name;
}

http::AnswerPairing pairAnswer(const http::Response &answer, const std::string &requestName)
{
    const std::string *const name = http::findHeader(answer.headers, requestIdHeader);
    if (name == nullptr) {
        return http::AnswerPairing::unnamed;
    }
    return *name == requestName ? http::AnswerPairing::own : http::AnswerPairing::other;
}

std::variant<decision::RunAnswer, decision::RunFailure> readRun(const http::Response &answer)
{
    if (http::findHeader(answer.headers, notExecutedHeader) != nullptr) {
        return decision::RunFailure::rejected;
    }
    const bool isSuccess = answer.status >= internal::firstSuccess && answer.status < internal::firstRedirect;
    const bool isSigned = http::findHeader(answer.headers, serverStampHeader) != nullptr;
    const bool isEncoded = http::findHeader(answer.headers, contentEncodingHeader) != nullptr;
    // An encoding that was not requested, or a success without the server's signature, shows that the bytes may not be the
    // server's own, so the answer must not pass for one.
    if (isEncoded || (isSuccess && !isSigned)) {
        return decision::RunFailure::lost;
    }
    // Forwarding such a status would promise the caller that the request did not run, which the server has not confirmed.
    if (internal::promisesNotRun(answer.status)) {
        return decision::RunFailure::lost;
    }
    return decision::RunAnswer{.status = answer.status, .headers = http::forwardable(answer.headers), .body = answer.body};
}

} // namespace egretlatch::platform
