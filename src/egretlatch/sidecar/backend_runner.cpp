#include <egretlatch/sidecar/backend_runner.hpp>

#include <egretlatch/platform/server_notice.hpp>
#include <egretlatch/platform/server_wire.hpp>

namespace egretlatch::sidecar
{

namespace internal
{

// The decision core aborts a run at its deadline. This later deadline only frees the connection if it fails to.
constexpr std::chrono::milliseconds deadlineMargin{500};
constexpr http::ReadLimits answerLimits{.headerBytes = 64U * 1024U, .bodyBytes = 64ULL * 1024U * 1024U};

[[nodiscard]] static std::variant<decision::RunAnswer, decision::RunFailure> runResultOf(const http::Outcome &result)
{
    if (const auto *const answer = std::get_if<http::Response>(&result)) {
        return platform::readRun(*answer);
    }
    const bool isNotConnected = std::get<http::Failure>(result) == http::Failure::notConnected;
    return isNotConnected ? decision::RunFailure::notConnected : decision::RunFailure::lost;
}

[[nodiscard]] static std::optional<decision::ServerNotice> noticeOf(const http::Outcome &result)
{
    const auto *const answer = std::get_if<http::Response>(&result);
    return answer == nullptr ? std::nullopt : std::optional{platform::readServerNotice(answer->headers)};
}

[[nodiscard]] static bool isConnectionLost(const http::Outcome &result)
{
    const auto *const failure = std::get_if<http::Failure>(&result);
    return failure != nullptr && *failure == http::Failure::lost;
}

} // namespace internal

BackendRunner::BackendRunner(net::Poller &poller, const Clock &clock, const net::Endpoint &endpoint, EndedHandler onEnded, UnreachableHandler onUnreachable)
    : m_clock{clock}
    , m_host{endpoint.text()}
    , m_onEnded{std::move(onEnded)}
    , m_onUnreachable{std::move(onUnreachable)}
    , m_pool{poller, clock, endpoint, internal::answerLimits}
{
}

void BackendRunner::start(const decision::StartRun &start, const std::string &instance)
{
    http::OutgoingRequest outgoing;
    outgoing.bytes = http::encode(platform::writeRun(start.request, instance));
    outgoing.pair = [name = platform::requestNameOf(start.request)](const http::Response &answer) {
        return platform::pairAnswer(answer, name);
    };
    outgoing.deadline = m_clock.steadyNow() + start.request.remaining + internal::deadlineMargin;
    const ExecutionId execution = start.execution;
    outgoing.onResult = [this, execution](const http::Outcome &result) {
        m_requestIds.erase(execution.value);
        m_onEnded({.execution = execution, .result = internal::runResultOf(result), .notice = internal::noticeOf(result)});
        if (internal::isConnectionLost(result)) {
            probe();
        }
    };
    const http::ClientRequestId id = m_pool.send(std::move(outgoing));
    m_requestIds.emplace(execution.value, id);
}

void BackendRunner::probe()
{
    // The next request might find out seconds later that the server has crashed, and others crash meanwhile.
    m_pool.probe([this](const bool isConnected) {
        if (!isConnected) {
            m_onUnreachable();
        }
    });
}

void BackendRunner::abort(const ExecutionId execution)
{
    const auto found = m_requestIds.find(execution.value);
    if (found != m_requestIds.end()) {
        const http::ClientRequestId id = found->second;
        m_requestIds.erase(found);
        m_pool.cancel(id);
    }
}

} // namespace egretlatch::sidecar
