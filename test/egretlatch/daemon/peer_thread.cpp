#include <doctest/doctest.h>

#include <array>
#include <thread>

#include <QTcpServer>

#include <fakes/counting_metrics.hpp>
#include <fakes/loopback.hpp>

#include <egretlatch/account/metrics_registry.hpp>
#include <egretlatch/daemon/condition_waker.hpp>
#include <egretlatch/daemon/peer_thread.hpp>

using namespace std::chrono_literals;
using namespace egretlatch;
using namespace egretlatch::daemon;
using fakes::freeEndpoint;

namespace
{

[[nodiscard]] settings::PeerKeys makeKeys()
{
    constexpr std::size_t textSize = 41;
    std::array<char, textSize> publicKey{};
    std::array<char, textSize> secretKey{};
    REQUIRE(zmq_curve_keypair(publicKey.data(), secretKey.data()) == 0);
    return {.publicKey = publicKey.data(), .secretKey = secretKey.data(), .accepted = {publicKey.data()}};
}

// Peer thread of one daemon, with the rings that connect it to the decide thread.
struct Peer
{
    Peer(const std::string &id, const std::uint64_t incarnation, const std::string &endpoint, std::optional<settings::PeerKeys> keys)
        : thread{{id}, {incarnation}, std::move(keys), receivedEvents, metrics}
        , messagesToSend{100, thread.waker()}
    {
        REQUIRE(thread.start(endpoint, messagesToSend).has_value());
    }

    Peer(const Peer &) = delete;
    Peer &operator=(const Peer &) = delete;

    ~Peer()
    {
        thread.stop();
    }

    void request(const std::string &to, const std::string &endpoint, const std::uint64_t call)
    {
        protocol::CallRequest request;
        request.call = {call};
        request.root = *Uuid::fromBytes(std::string(16, 'r'));
        REQUIRE(messagesToSend.tryPush({.to = {to}, .endpoint = endpoint, .message = request}));
    }

    // Returns the next event of a type. The time limit only keeps a failing test from hanging.
    template<typename Type>
    [[nodiscard]] std::optional<Type> next()
    {
        const auto limit = std::chrono::steady_clock::now() + 30s;
        while (std::chrono::steady_clock::now() < limit) {
            const std::unique_ptr<decision::Event> event = receivedEvents.tryPop();
            if (event == nullptr) {
                waker.waitUntil(std::chrono::steady_clock::now() + 10ms);
            } else if (const auto *const found = std::get_if<Type>(event.get())) {
                return *found;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] std::uint64_t nextCall()
    {
        const std::optional<decision::PeerMessage> message = next<decision::PeerMessage>();
        REQUIRE(message.has_value());
        return std::get<protocol::CallRequest>(message->envelope.message).call.value;
    }

    account::MetricsRegistry metrics;
    ConditionWaker waker;
    Ring<decision::Event> receivedEvents{100, waker};
    PeerThread thread;
    Ring<decision::SendToPeer> messagesToSend;
};

} // namespace

TEST_CASE("a request to a daemon that is down is reported as failed and does not reach its next incarnation")
{
    // Guards against a launch that is entered twice: the first attempt stays queued for a daemon that is down, the caller
    // is told that it was not run and resends it elsewhere, and the daemon's next incarnation then receives the first.
    const std::string endpoint = freeEndpoint();
    const settings::PeerKeys keys = makeKeys();
    Peer sender{"sender", 1, freeEndpoint(), keys};
    sender.request("receiver", endpoint, 1);
    const auto failed = sender.next<decision::SendFailed>();
    REQUIRE(failed.has_value());
    CHECK(failed->call == CallId{1});
    const auto lost = sender.next<decision::PeerLost>();
    REQUIRE(lost.has_value());
    CHECK_FALSE(lost->wasConnected);

    Peer receiver{"receiver", 2, endpoint, keys};
    sender.request("receiver", endpoint, 2);
    CHECK(receiver.nextCall() == 2);
}

TEST_CASE("the loss of an open connection is reported, and the next request opens a new one")
{
    const std::string endpoint = freeEndpoint();
    const settings::PeerKeys keys = makeKeys();
    Peer sender{"sender", 1, freeEndpoint(), keys};
    {
        Peer receiver{"receiver", 1, endpoint, keys};
        sender.request("receiver", endpoint, 1);
        CHECK(receiver.nextCall() == 1);
    }
    const auto lost = sender.next<decision::PeerLost>();
    REQUIRE(lost.has_value());
    CHECK(lost->daemon == DaemonId{"receiver"});
    CHECK(lost->wasConnected);

    Peer receiver{"receiver", 2, endpoint, keys};
    sender.request("receiver", endpoint, 2);
    CHECK(receiver.nextCall() == 2);
}

TEST_CASE("a message to a daemon with a different key is reported as failed")
{
    const std::string endpoint = freeEndpoint();
    Peer receiver{"receiver", 1, endpoint, makeKeys()};
    settings::PeerKeys foreign = makeKeys();
    Peer stranger{"stranger", 1, freeEndpoint(), foreign};
    stranger.request("receiver", endpoint, 1);
    CHECK(stranger.next<decision::SendFailed>().has_value());
}

TEST_CASE("a client that knows the server's key is rejected if its own key is not accepted")
{
    const std::string endpoint = freeEndpoint();
    const settings::PeerKeys keys = makeKeys();
    Peer receiver{"receiver", 1, endpoint, keys};
    settings::PeerKeys foreign = makeKeys();
    foreign.accepted = {keys.publicKey};
    Peer stranger{"stranger", 1, freeEndpoint(), foreign};
    stranger.request("receiver", endpoint, 1);
    CHECK(stranger.next<decision::SendFailed>().has_value());
    CHECK(receiver.metrics.toPrometheus().find("unknown-key") != std::string::npos);
}

TEST_CASE("daemons with the old and the new key can communicate while keys are rotated")
{
    settings::PeerKeys old = makeKeys();
    settings::PeerKeys fresh = makeKeys();
    const std::vector<std::string> accepted{old.publicKey, fresh.publicKey};
    old.accepted = accepted;
    fresh.accepted = accepted;
    const std::string oldEndpoint = freeEndpoint();
    const std::string freshEndpoint = freeEndpoint();
    Peer oldPeer{"old", 1, oldEndpoint, old};
    Peer freshPeer{"fresh", 1, freshEndpoint, fresh};
    oldPeer.request("fresh", freshEndpoint, 1);
    CHECK(freshPeer.nextCall() == 1);
    freshPeer.request("old", oldEndpoint, 2);
    CHECK(oldPeer.nextCall() == 2);
}
