#include <egretlatch/sidecar/caller_front.hpp>

#include <algorithm>

#include <egretlatch/platform/caller_wire.hpp>

namespace egretlatch::sidecar
{

namespace internal
{

constexpr int notFound = 404;
// A daemon without a configuration has one within a second of reaching the store or another daemon.
constexpr std::chrono::milliseconds retryWithoutConfiguration{1000};

[[nodiscard]] static decision::CallerAnswer withoutConfiguration()
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

[[nodiscard]] static decision::CallerAnswer withoutRoute()
{
    decision::CallerAnswer answer;
    answer.status = notFound;
    answer.mistake = "no route begins this path";
    return answer;
}

} // namespace internal

CallerFront::CallerFront(net::Poller &poller, const Clock &clock, RandomSource &random, std::string service, EventHandler onEvent)
    : m_service{std::move(service)}
    , m_onEvent{std::move(onEvent)}
    , m_targets{random}
    , m_server{poller,
               clock,
               [this](const ExchangeId exchange, http::Request request) {
                   take(exchange, std::move(request));
               },
               [this](const ExchangeId exchange) {
                   m_names.erase(exchange);
                   m_onEvent(decision::CallerGone{.exchange = exchange});
               }}
{
}

void CallerFront::setManifest(std::shared_ptr<const manifest::Manifest> manifest)
{
    m_manifest = std::move(manifest);
    const manifest::CallerLimits &limits = m_manifest->callerLimits();
    m_server.setLimits({
        .read = {.headerBytes = limits.headerBytes, .bodyBytes = limits.bodyBytes},
        .headerTimeout = limits.headerTimeout,
        .idleTimeout = limits.idleTimeout,
    });
}

void CallerFront::answer(const decision::AnswerCaller &order)
{
    const auto found = m_names.find(order.exchange);
    if (found == m_names.end()) {
        return;
    }
    const std::string name = std::move(found->second);
    m_names.erase(found);
    m_server.answer(order.exchange, platform::writeAnswer(order.answer, name));
}

void CallerFront::take(const ExchangeId exchange, http::Request request)
{
    platform::CallerRequest caller = platform::readCaller(request);
    m_names.emplace(exchange, caller.name);
    if (m_manifest == nullptr) {
        answer({.exchange = exchange, .answer = internal::withoutConfiguration()});
        return;
    }
    const manifest::RouteSpec *const route = m_manifest->findRoute(caller.host, caller.path);
    if (route == nullptr) {
        answer({.exchange = exchange, .answer = internal::withoutRoute()});
        return;
    }
    decision::CallerCall call;
    call.service = m_targets.choose(*route);
    call.kind = route->kind;
    call.method = std::move(request.method);
    call.path = std::move(request.target);
    call.headers = platform::headersForServer(request.headers, m_service);
    call.body = std::move(request.body);
    call.requestName = std::move(caller.name);
    call.parentName = std::move(caller.parentName);
    const manifest::KindSpec *const kind = m_manifest->findKind(call.service, call.kind);
    call.timeout = std::min(caller.patience.value_or(kind->deadline), kind->deadline);
    m_onEvent(decision::CallArrived{.exchange = exchange, .call = std::move(call)});
}

} // namespace egretlatch::sidecar
