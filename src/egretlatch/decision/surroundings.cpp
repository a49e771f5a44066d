#include <egretlatch/decision/surroundings.hpp>

#include <fmt/format.h>

namespace egretlatch::decision
{

account::Refusal Surroundings::refuse(const account::RefusalReason reason,
                                      const std::string &rule,
                                      std::vector<account::Figure> figures,
                                      const std::chrono::milliseconds retryAfter)
{
    return {
        .id = mint.mint(clock.wallNow()),
        .reason = reason,
        .rule = fmt::format("{} (daemon {})", rule, self.value),
        .figures = std::move(figures),
        .retryAfter = retryAfter,
        .configurationVersion = manifestVersion,
    };
}

platform::RequestId Surroundings::askPlatform(platform::Request request)
{
    ++lastPlatformRequest.value;
    actions.emplace_back(AskPlatform{.id = lastPlatformRequest, .request = std::move(request)});
    return lastPlatformRequest;
}

} // namespace egretlatch::decision
