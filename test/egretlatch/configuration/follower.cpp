#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

#include <fakes/manual_clock.hpp>
#include <platform_store.hpp>

#include <egretlatch/configuration/follower.hpp>
#include <egretlatch/configuration/submission.hpp>
#include <egretlatch/core/content_hash.hpp>

using namespace egretlatch;
using namespace egretlatch::configuration;

namespace
{

[[nodiscard]] QByteArray makeManifest(const int slots)
{
    return QByteArray{R"({"services":[{"name":"roster","slots":)"} + QByteArray::number(slots) + R"(,"connections":100,"kinds":[]}]})";
}

/*! @brief Records the requests, messages and configurations of a follower. */
class RecordingDelegate final : public FollowerDelegate
{
public:
    store::RequestId sendToPlatform(store::Request request) override
    {
        requests.emplace_back(store::RequestId{++m_lastRequest}, std::move(request));
        return {m_lastRequest};
    }

    void send(const Peer &peer, PeerPayload message) override
    {
        sent.emplace_back(peer, std::move(message));
    }

    [[nodiscard]] std::vector<Peer> peers() const override
    {
        return known;
    }

    [[nodiscard]] std::size_t countPeers() const override
    {
        return known.size();
    }

    [[nodiscard]] ReadDuty readDuty() override
    {
        return duty;
    }

    [[nodiscard]] ReadTurn readTurn() override
    {
        return {};
    }

    [[nodiscard]] std::vector<Peer> neighbours() override
    {
        return known;
    }

    [[nodiscard]] std::vector<Peer> readers() override
    {
        return {};
    }

    [[nodiscard]] std::vector<Peer> deputies() override
    {
        return {};
    }

    void putInForce(const std::uint64_t version, const std::shared_ptr<const manifest::Manifest> &manifest, const DaemonId & /*source*/) override
    {
        inForce.push_back(version);
        slots = manifest->services().front().slots;
    }

    void count(const std::string_view what) override
    {
        counted.emplace_back(what);
    }

    std::deque<std::pair<store::RequestId, store::Request>> requests;
    std::deque<std::pair<Peer, PeerPayload>> sent;
    std::vector<Peer> known;
    std::vector<std::uint64_t> inForce;
    std::vector<std::string> counted;
    int slots{};
    ReadDuty duty{ReadDuty::none};

private:
    std::uint64_t m_lastRequest{};
};

const store::Outcome down = tl::unexpected{Error{ErrorCode::unavailable, "down"}};

/*! @brief Follower with a platform that can be down. */
struct Fixture
{
    explicit Fixture(const std::uint64_t seed = 1)
        : random{seed}
        , follower{delegate, random, FollowerOptions{.hasPlatform = true, .endpoint = "tcp://self"}}
    {
    }

    // Advances the clock in small steps; the platform answers at once, or with an error if `store` is null.
    void run(const Duration span, standin::PlatformStore *const store)
    {
        constexpr std::chrono::milliseconds step{50};
        for (Duration passed{}; passed < span; passed += step) {
            clock.advance(step);
            follower.tick(clock.steadyNow());
            answerAll(store);
        }
    }

    void answerAll(standin::PlatformStore *const store)
    {
        while (!delegate.requests.empty()) {
            const auto [id, request] = delegate.requests.front();
            delegate.requests.pop_front();
            CHECK(follower.handleOutcome(id, store == nullptr ? down : store->apply(request), clock.steadyNow()));
        }
    }

    void receiveAdvert(const std::uint64_t version, const QByteArray &manifest)
    {
        follower.handleAdvert({"peer"}, {.version = version, .hash = contentHash(manifest), .endpoint = "tcp://peer"}, clock.steadyNow());
    }

    [[nodiscard]] std::size_t bodyRequests() const
    {
        return static_cast<std::size_t>(std::count_if(delegate.sent.begin(), delegate.sent.end(), [](const auto &message) {
            return std::holds_alternative<BodyRequest>(message.second);
        }));
    }

    fakes::ManualClock clock;
    SeededRandom random;
    RecordingDelegate delegate;
    Follower follower;
};

void accept(standin::PlatformStore &store, const std::uint64_t base, const QByteArray &manifest)
{
    SubmissionRequest request;
    request.base = base;
    request.manifest = manifest;
    request.id = "submission-" + std::to_string(base);
    Submission submission{request};
    while (submission.handleOutcome(store.apply(submission.request())) != SubmissionStep::finished) { }
    REQUIRE(submission.result().end == SubmissionEnd::accepted);
}

} // namespace

TEST_CASE("an accepted configuration is discovered by polling and fetched from the store")
{
    standin::PlatformStore store;
    Fixture daemon;
    accept(store, 0, makeManifest(3));
    daemon.run(std::chrono::seconds{4}, &store);
    CHECK(daemon.delegate.inForce == std::vector<std::uint64_t>{1});
    CHECK(daemon.delegate.slots == 3);
}

TEST_CASE("a daemon that starts while the platform is down gets the configuration from a peer")
{
    // If VMs that are started after a rack failure while the store is down could not get the configuration from their
    // peers, they would refuse every call.
    Fixture daemon;
    daemon.delegate.known = {{.id = {"peer"}, .endpoint = "tcp://peer"}};
    daemon.run(std::chrono::seconds{2}, nullptr);
    REQUIRE(!daemon.delegate.sent.empty());
    CHECK(std::get<Advert>(daemon.delegate.sent.front().second).version == 0);
    daemon.receiveAdvert(7, makeManifest(5));
    CHECK(daemon.bodyRequests() == 1);
    daemon.follower.handleBodyReply({"peer"}, {.hash = contentHash(makeManifest(5)), .manifest = makeManifest(5)}, daemon.clock.steadyNow());
    CHECK(daemon.delegate.inForce == std::vector<std::uint64_t>{7});
}

TEST_CASE("a lagging peer receives an advert at once, and the manifest on request")
{
    standin::PlatformStore store;
    accept(store, 0, makeManifest(3));
    Fixture daemon;
    daemon.run(std::chrono::seconds{4}, &store);
    daemon.delegate.sent.clear();
    daemon.follower.handleAdvert({"new"}, {.version = 0, .hash = {}, .endpoint = "tcp://new"}, daemon.clock.steadyNow());
    REQUIRE(daemon.delegate.sent.size() == 1);
    CHECK(daemon.delegate.sent.front().first.endpoint == "tcp://new");
    CHECK(std::get<Advert>(daemon.delegate.sent.front().second).version == 1);
    daemon.follower.handleBodyRequest({"new"}, {.hash = contentHash(makeManifest(3)), .endpoint = "tcp://new"});
    CHECK(std::get<BodyReply>(daemon.delegate.sent.back().second).manifest == makeManifest(3));
}

TEST_CASE("a manifest with a different hash is rejected")
{
    // A peer sends a truncated or forged manifest. The daemon must not put it in force, and must go on asking the store and
    // the peers in turn until it gets the right bytes.
    standin::PlatformStore store;
    accept(store, 0, makeManifest(3));
    Fixture daemon;
    daemon.receiveAdvert(1, makeManifest(3));
    daemon.follower.handleBodyReply({"peer"}, {.hash = contentHash(makeManifest(3)), .manifest = makeManifest(9)}, daemon.clock.steadyNow());
    CHECK(daemon.delegate.inForce.empty());
    CHECK(daemon.delegate.counted == std::vector<std::string>{"hash-mismatch"});
    daemon.run(std::chrono::seconds{2}, &store);
    CHECK(daemon.delegate.inForce == std::vector<std::uint64_t>{1});
    CHECK(daemon.delegate.slots == 3);
}

TEST_CASE("the follower turns to the store when a peer does not send the manifest, and to a peer when the store is down")
{
    standin::PlatformStore store;
    accept(store, 0, makeManifest(3));
    Fixture silentPeer;
    silentPeer.receiveAdvert(1, makeManifest(3));
    silentPeer.run(std::chrono::seconds{1}, &store);
    CHECK(silentPeer.delegate.inForce == std::vector<std::uint64_t>{1});

    Fixture storeDown;
    storeDown.receiveAdvert(1, makeManifest(3));
    storeDown.run(std::chrono::seconds{4}, nullptr);
    CHECK(storeDown.bodyRequests() >= 2);
}

TEST_CASE("the version in force never decreases when older versions arrive late")
{
    // A daemon returns from a partition and advertises an old version, or responses of the platform arrive out of order. If
    // the old version were applied, a limit that an operator lowered would be raised again.
    standin::PlatformStore store;
    accept(store, 0, makeManifest(3));
    accept(store, 1, makeManifest(4));
    Fixture daemon;
    daemon.run(std::chrono::seconds{4}, &store);
    REQUIRE(daemon.delegate.inForce == std::vector<std::uint64_t>{2});
    daemon.receiveAdvert(1, makeManifest(3));
    daemon.follower.handleBodyReply({"peer"}, {.hash = contentHash(makeManifest(3)), .manifest = makeManifest(3)}, daemon.clock.steadyNow());
    daemon.run(std::chrono::seconds{10}, &store);
    CHECK(daemon.delegate.inForce == std::vector<std::uint64_t>{2});
    CHECK(daemon.delegate.slots == 4);
}

TEST_CASE("a manifest that cannot be parsed is not applied, and fetched only once")
{
    standin::PlatformStore store;
    accept(store, 0, "{\"of\":\"a newer program\"}");
    Fixture daemon;
    daemon.run(std::chrono::seconds{20}, &store);
    CHECK(daemon.delegate.inForce.empty());
    CHECK(daemon.delegate.counted == std::vector<std::string>{"manifest-not-understood"});
    CHECK(daemon.follower.newestKnown() == 1);
}

TEST_CASE("the fleet's rate of head row reads does not grow with its size")
{
    constexpr std::size_t daemons = 300;
    constexpr std::chrono::seconds span{60};
    Fixture daemon;
    daemon.delegate.known.resize(daemons - 1);
    standin::PlatformStore store;
    std::size_t reads = 0;
    for (Duration passed{}; passed < span; passed += std::chrono::milliseconds{50}) {
        daemon.clock.advance(std::chrono::milliseconds{50});
        daemon.follower.tick(daemon.clock.steadyNow());
        reads += daemon.delegate.requests.size();
        daemon.answerAll(&store);
    }
    CHECK(reads * daemons / span.count() <= 20);
}

TEST_CASE("polls of an unavailable platform back off up to a maximum interval")
{
    Fixture daemon;
    std::size_t reads = 0;
    for (int step = 0; step < 20 * 300; ++step) {
        daemon.clock.advance(std::chrono::milliseconds{50});
        daemon.follower.tick(daemon.clock.steadyNow());
        reads += daemon.delegate.requests.size();
        daemon.answerAll(nullptr);
    }
    CHECK(reads >= 10);
    CHECK(reads <= 40);
}
