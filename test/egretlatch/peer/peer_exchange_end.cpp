#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <thread>

#include <poll.h>

#include <fakes/loopback.hpp>

#include <egretlatch/account/metrics_registry.hpp>
#include <egretlatch/peer/peer_exchange.hpp>

using namespace egretlatch;
using namespace egretlatch::peer;
using fakes::freeEndpoint;

namespace
{

constexpr int pollIntervalMs = 100;
// Prevents a failing test from hanging.
constexpr int maxPolls = 100;
constexpr int requestCount = 12;
// Together more than the kernel takes for a connection that is not read.
constexpr qsizetype answerBytes = qsizetype{2} * 1024 * 1024;

// Runs an exchange until a condition holds, or for too long.
template<typename Condition>
[[nodiscard]] bool processUntil(PeerExchange &exchange, Condition condition)
{
    for (int polls = 0; polls < maxPolls && !condition(); ++polls) {
        pollfd watched{.fd = exchange.descriptor(), .events = POLLIN, .revents = 0};
        ::poll(&watched, 1, pollIntervalMs);
        exchange.processSockets();
    }
    return condition();
}

} // namespace

TEST_CASE("answers of a daemon that ends reach a daemon that reads them late")
{
    // Guards against answers that were given and are lost with the process, since the daemon that asked was paused.
    account::MetricsRegistry metrics;
    const std::string endpoint = freeEndpoint();
    std::vector<protocol::Envelope> requests;
    auto serving = std::make_unique<PeerExchange>(
        DaemonId{"serving"},
        Incarnation{1},
        std::nullopt,
        [&requests](const decision::Event &event) {
            requests.push_back(std::get<decision::PeerMessage>(event).envelope);
        },
        metrics);
    REQUIRE(serving->start(endpoint).has_value());
    int answers = 0;
    PeerExchange entry{{"entry"},
                       {1},
                       std::nullopt,
                       [&answers](const decision::Event &event) {
                           answers += std::holds_alternative<decision::PeerMessage>(event) ? 1 : 0;
                       },
                       metrics};
    REQUIRE(entry.start(freeEndpoint()).has_value());
    for (std::uint64_t number = 1; number <= requestCount; ++number) {
        protocol::CallRequest request;
        request.call = {number};
        request.root = *Uuid::fromBytes(std::string(16, 'r'));
        entry.send({.to = {"serving"}, .endpoint = endpoint, .message = request});
    }
    for (int polls = 0; polls < maxPolls && requests.size() < requestCount; ++polls) {
        entry.processSockets();
        static_cast<void>(processUntil(*serving, [&requests, polls] {
            return static_cast<int>(requests.size()) > polls;
        }));
    }
    REQUIRE(requests.size() == requestCount);
    for (const protocol::Envelope &request : requests) {
        protocol::CallAnswer answer;
        answer.call = std::get<protocol::CallRequest>(request.message).call;
        answer.receiver = request.incarnation;
        answer.verdict = Verdict::completed;
        answer.body = QByteArray(answerBytes, 'a');
        serving->send({.to = request.sender, .endpoint = {}, .message = answer});
    }
    std::thread end{[&serving] {
        serving.reset();
    }};
    std::this_thread::sleep_for(std::chrono::milliseconds{500});
    CHECK(processUntil(entry, [&answers] {
        return answers == requestCount;
    }));
    end.join();
}
