#include <egretlatch/decision/core_context.hpp>

#include <fmt/format.h>

namespace egretlatch::decision
{

account::Refusal CoreContext::refuse(const account::RefusalReason reason,
                                     const std::string &rule,
                                     std::vector<account::Figure> figures,
                                     const std::chrono::milliseconds retryAfter)
{
    return {
        .id = uuidGenerator.generate(clock.wallNow()),
        .reason = reason,
        .rule = fmt::format("{} (daemon {})", rule, self.value),
        .figures = std::move(figures),
        .retryAfter = retryAfter,
        .configurationVersion = manifestVersion,
    };
}

admission::RequestIdentity CoreContext::identityOf(const DaemonId &from, const protocol::CallRequest &request) const
{
    const membership::Member *const member = from == self ? &roster.self() : roster.find(from);
    return admission::identityOf({
        .kind = request.kind,
        .method = request.method,
        .path = request.path,
        .body = {request.body.constData(), static_cast<std::size_t>(request.body.size())},
        .service = member == nullptr ? std::string_view{} : std::string_view{member->service},
        .account = request.account,
    });
}

const manifest::KindSpec *CoreContext::findKind(const std::string &service, const std::string &kind) const
{
    return manifest == nullptr ? nullptr : manifest->findKind(service, kind);
}

void CoreContext::putInForce(const std::uint64_t version, const std::shared_ptr<const manifest::Manifest> &configuration, const DaemonId &sourceDaemon)
{
    // A configuration that arrives late or repeatedly must not replace a newer one, so only a higher version is accepted.
    const bool isOutdated = manifest != nullptr && version <= manifestVersion;
    if (isOutdated) {
        return;
    }
    manifestVersion = version;
    manifest = configuration;
    entryControl->setManifest(configuration);
    actions.emplace_back(ManifestInForce{.version = version, .hash = configuration->hash(), .sourceDaemon = sourceDaemon});
}

store::RequestId CoreContext::sendToPlatform(store::Request request)
{
    ++lastPlatformRequest.value;
    actions.emplace_back(SendToPlatform{.id = lastPlatformRequest, .request = std::move(request)});
    return lastPlatformRequest;
}

} // namespace egretlatch::decision
