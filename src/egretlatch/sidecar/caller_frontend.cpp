#include <egretlatch/sidecar/caller_frontend.hpp>

#include <algorithm>

#include <egretlatch/platform/caller_wire.hpp>

namespace egretlatch::sidecar
{

namespace internal
{

constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int badGateway = 502;
constexpr int serviceUnavailable = 503;
// An expired call keeps a minimal timeout, so that the decision core refuses it like any other late call.
constexpr std::chrono::milliseconds minTimeout{1};
// A daemon receives its configuration within a second of reaching the store or another daemon.
constexpr std::chrono::milliseconds retryWithoutConfiguration{1000};

[[nodiscard]] static decision::CallerAnswer noConfigurationAnswer()
{
    decision::CallerAnswer answer;
    answer.refusal = account::Refusal{.id = {},
                                      .reason = account::RefusalReason::storeUnavailable,
                                      .rule = "no configuration is known yet",
                                      .figures = {},
                                      .retryAfter = retryWithoutConfiguration,
                                      .configurationVersion = 0};
    return answer;
}

[[nodiscard]] static decision::CallerAnswer failedAnswer(const int status, const Verdict verdict)
{
    decision::CallerAnswer answer;
    answer.verdict = verdict;
    answer.status = status;
    answer.requestError = "the daemon ends after an internal error";
    return answer;
}

[[nodiscard]] static decision::CallerAnswer noRouteAnswer()
{
    decision::CallerAnswer answer;
    answer.status = notFound;
    answer.requestError = "no route begins this path";
    return answer;
}

[[nodiscard]] static decision::CallerAnswer invalidKeyAnswer()
{
    decision::CallerAnswer answer;
    answer.status = badRequest;
    answer.requestError = "a request has one API key of usual length";
    return answer;
}

} // namespace internal

CallerFrontend::CallerFrontend(net::Poller &poller, const Clock &clock, RandomSource &random, std::string service, EventHandler onEvent)
    : m_clock{clock}
    , m_service{std::move(service)}
    , m_onEvent{std::move(onEvent)}
    , m_targets{random}
    , m_server{poller,
               clock,
               [this](const ExchangeId exchange, http::Request request, const SteadyTime readAt) {
                   handleRequest(exchange, std::move(request), readAt);
               },
               [this](const ExchangeId exchange) {
                   m_requestNames.erase(exchange);
                   m_onEvent(decision::CallerGone{.exchange = exchange});
               }}
{
    m_server.setOverlapRule([this](const http::Request &request) {
        return mayOverlap(request);
    });
}

void CallerFrontend::setManifest(std::shared_ptr<const manifest::Manifest> manifest)
{
    m_manifest = std::move(manifest);
    const manifest::CallerLimits &limits = m_manifest->callerLimits();
    m_server.setLimits({
        .read = {.headerBytes = limits.headerBytes, .bodyBytes = limits.bodyBytes},
        .headerTimeout = limits.headerTimeout,
        .idleTimeout = limits.idleTimeout,
        // A caller is owed its answer as long as it waits for one, and a connection may be idle for as long as it may.
        .pauseLimit = std::max(limits.idleTimeout, m_manifest->maxDeadline()),
        .pipeline = {},
    });
}

void CallerFrontend::answer(const decision::AnswerCaller &action)
{
    const auto found = m_requestNames.find(action.exchange);
    if (found == m_requestNames.end()) {
        return;
    }
    const std::string name = std::move(found->second);
    m_requestNames.erase(found);
    m_server.answer(action.exchange, platform::writeAnswer(action.answer, name));
}

void CallerFrontend::failAll()
{
    m_hasFailed = true;
    m_server.retire();
    std::vector<ExchangeId> open;
    for (const auto &[exchange, name] : m_requestNames) {
        open.push_back(exchange);
    }
    for (const ExchangeId exchange : open) {
        answer({.exchange = exchange, .answer = internal::failedAnswer(internal::badGateway, Verdict::mayHaveRun)});
    }
}

bool CallerFrontend::mayOverlap(const http::Request &request) const
{
    if (!m_overlaps) {
        return false;
    }
    const platform::CallerRequest caller = platform::readCaller(request);
    const manifest::RouteSpec *const route = m_manifest == nullptr ? nullptr : m_manifest->findRoute(caller.host, caller.path);
    if (route == nullptr) {
        return true;
    }
    return std::all_of(route->targets.begin(), route->targets.end(), [this, route](const manifest::RouteTarget &target) {
        return m_manifest->findKind(target.service, route->kind)->idempotent;
    });
}

void CallerFrontend::handleRequest(const ExchangeId exchange, http::Request request, const SteadyTime readAt)
{
    platform::CallerRequest caller = platform::readCaller(request);
    m_requestNames.emplace(exchange, caller.name);
    if (m_hasFailed) {
        answer({.exchange = exchange, .answer = internal::failedAnswer(internal::serviceUnavailable, Verdict::notRun)});
        return;
    }
    if (m_manifest == nullptr) {
        answer({.exchange = exchange, .answer = internal::noConfigurationAnswer()});
        return;
    }
    const manifest::RouteSpec *const route = m_manifest->findRoute(caller.host, caller.path);
    if (route == nullptr) {
        answer({.exchange = exchange, .answer = internal::noRouteAnswer()});
        return;
    }
    const bool hasAccounts = !m_manifest->accounts().empty();
    platform::ApiKeyClaim key = hasAccounts ? platform::readApiKey(request.headers) : platform::ApiKeyClaim{};
    if (key.isInvalid) {
        answer({.exchange = exchange, .answer = internal::invalidKeyAnswer()});
        return;
    }
    decision::CallerCall call;
    call.service = m_targets.choose(*route);
    call.kind = route->kind;
    call.method = std::move(request.method);
    call.path = std::move(request.target);
    call.headers = platform::headersForServer(request.headers, m_service, hasAccounts);
    call.apiKeyDigest = std::move(key.digest);
    call.body = std::move(request.body);
    call.requestName = std::move(caller.name);
    call.parentName = std::move(caller.parentName);
    const manifest::KindSpec *const kind = m_manifest->findKind(call.service, call.kind);
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.steadyNow() - readAt);
    // A request that expired while it waited behind others on its connection is refused as not run.
    call.timeout = std::max(std::min(caller.timeout.value_or(kind->deadline), kind->deadline) - waited, internal::minTimeout);
    m_onEvent(decision::CallArrived{.exchange = exchange, .call = std::move(call)});
}

} // namespace egretlatch::sidecar
