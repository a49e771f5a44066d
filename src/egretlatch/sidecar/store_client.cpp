#include <egretlatch/sidecar/store_client.hpp>

#include <egretlatch/platform/store_wire.hpp>

namespace egretlatch::sidecar
{

namespace internal
{

// The store normally answers within milliseconds; even one slowed down sixtyfold answers within this limit.
constexpr std::chrono::milliseconds answerTimeout{2000};
constexpr int firstServerError = 500;
constexpr int badRequest = 400;
constexpr int tooManyRequests = 429;

[[nodiscard]] static std::string_view outcomeName(const http::Outcome &result)
{
    if (const auto *const answer = std::get_if<http::Response>(&result)) {
        if (answer->status == badRequest) {
            return "not-understood";
        }
        return answer->status < firstServerError && answer->status != tooManyRequests ? "answered" : "refused";
    }
    switch (std::get<http::Failure>(result)) {
    case http::Failure::notConnected:
        return "not-connected";
    case http::Failure::lost:
        return "lost";
    case http::Failure::timedOut:
        break;
    }
    return "timed-out";
}

[[nodiscard]] static store::Outcome outcomeOf(const store::Request &request, const http::Outcome &result)
{
    if (const auto *const answer = std::get_if<http::Response>(&result)) {
        return platform::readStoreAnswer(request, *answer);
    }
    if (std::get<http::Failure>(result) == http::Failure::notConnected) {
        return tl::unexpected{Error{ErrorCode::unavailable, "the store cannot be reached"}};
    }
    return tl::unexpected{Error{ErrorCode::timedOut, "the store did not answer"}};
}

} // namespace internal

StoreClient::StoreClient(net::Poller &poller, const Clock &clock, const net::Endpoint &endpoint, const Logger &logger, account::MetricsSink &metrics)
    : m_clock{clock}
    , m_logger{logger}
    , m_metrics{metrics}
    , m_host{endpoint.text()}
    , m_pool{poller, clock, endpoint, {}}
{
}

void StoreClient::execute(const store::Request &request, std::function<void(store::Outcome)> onOutcome)
{
    const std::optional<http::Request> call = platform::writeStoreRequest(request);
    if (!call.has_value()) {
        onOutcome(tl::unexpected{Error{ErrorCode::unavailable, "object requests are not supported on this platform"}});
        return;
    }
    this->call(*call, internal::answerTimeout, [request, onOutcome = std::move(onOutcome)](const http::Outcome &result) {
        onOutcome(internal::outcomeOf(request, result));
    });
}

http::ClientRequestId StoreClient::call(const http::Request &request, const std::chrono::milliseconds timeout, AnswerHandler onAnswer)
{
    http::OutgoingRequest outgoing;
    http::Request addressed = request;
    addressed.headers.push_back({.name = "Host", .value = m_host});
    outgoing.bytes = http::encode(addressed);
    outgoing.pair = [](const http::Response & /*response*/) {
        return http::AnswerPairing::own;
    };
    outgoing.deadline = m_clock.steadyNow() + timeout;
    outgoing.onResult = [this, onAnswer = std::move(onAnswer)](http::Outcome result) {
        recordOutcome(result);
        onAnswer(std::move(result));
    };
    return m_pool.send(std::move(outgoing));
}

void StoreClient::recordOutcome(const http::Outcome &result)
{
    const std::string_view name = internal::outcomeName(result);
    m_metrics.count("store_calls", name);
    const bool isLost = name != "answered";
    if (isLost != m_isLost) {
        m_isLost = isLost;
        if (isLost) {
            m_logger.warning("store lost", {{"outcome", name}});
        } else {
            m_logger.info("store reachable again");
        }
    }
}

} // namespace egretlatch::sidecar
