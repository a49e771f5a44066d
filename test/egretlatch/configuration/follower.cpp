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

/*! @brief Keeps what a follower does, for a test to read and to deliver. */
class RecordingOutlet final : public Outlet
{
public:
    store::RequestId ask(store::Request request) override
    {
        asked.emplace_back(store::RequestId{++m_lastRequest}, std::move(request));
        return {m_lastRequest};
    }

    void send(const Peer &peer, PeerPayload news) override
    {
        sent.emplace_back(peer, std::move(news));
    }

    [[nodiscard]] std::vector<Peer> peers() const override
    {
        return known;
    }

    void putInForce(const std::uint64_t version, const std::shared_ptr<const manifest::Manifest> &manifest, const DaemonId & /*bringer*/) override
    {
        inForce.push_back(version);
        slots = manifest->services().front().slots;
    }

    void count(const std::string_view what) override
    {
        counted.emplace_back(what);
    }

    std::deque<std::pair<store::RequestId, store::Request>> asked;
    std::deque<std::pair<Peer, PeerPayload>> sent;
    std::vector<Peer> known;
    std::vector<std::uint64_t> inForce;
    std::vector<std::string> counted;
    int slots{};

private:
    std::uint64_t m_lastRequest{};
};

const store::Outcome down = tl::unexpected{Error{ErrorCode::unavailable, "down"}};

/*! @brief One follower with a platform that can be down. */
struct Fixture
{
    explicit Fixture(const std::uint64_t seed = 1)
        : random{seed}
        , follower{outlet, random, FollowerOptions{.hasPlatform = true, .endpoint = "tcp://self"}}
    {
    }

    // Lets time pass in small steps; the platform answers at once.
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
        while (!outlet.asked.empty()) {
            const auto [id, request] = outlet.asked.front();
            outlet.asked.pop_front();
            CHECK(follower.handleOutcome(id, store == nullptr ? down : store->apply(request), clock.steadyNow()));
        }
    }

    void receiveAdvert(const std::uint64_t version, const QByteArray &manifest)
    {
        follower.handleAdvert({"peer"}, {.version = version, .hash = contentHash(manifest), .endpoint = "tcp://peer"}, clock.steadyNow());
    }

    [[nodiscard]] std::size_t bodyRequests() const
    {
        return static_cast<std::size_t>(std::count_if(outlet.sent.begin(), outlet.sent.end(), [](const auto &message) {
            return std::holds_alternative<BodyRequest>(message.second);
        }));
    }

    fakes::ManualClock clock;
    SeededRandom random;
    RecordingOutlet outlet;
    Follower follower;
};

void accept(standin::PlatformStore &store, const std::uint64_t base, const QByteArray &manifest)
{
    SubmissionRequest request;
    request.base = base;
    request.manifest = manifest;
    request.id = "submission-" + std::to_string(base);
    Submission submission{request};
    while (submission.take(store.apply(submission.request())) != SubmissionStep::finished) { }
    REQUIRE(submission.result().end == SubmissionEnd::accepted);
}

} // namespace

TEST_CASE("an accepted configuration is found by the poll and fetched from the store")
{
    standin::PlatformStore store;
    Fixture daemon;
    accept(store, 0, makeManifest(3));
    daemon.run(std::chrono::seconds{4}, &store);
    CHECK(daemon.outlet.inForce == std::vector<std::uint64_t>{1});
    CHECK(daemon.outlet.slots == 3);
}

TEST_CASE("a daemon that starts while the platform is down takes the configuration from a peer")
{
    // After a rack failure with the store down, the new VMs refuse every call, since they have no configuration, although
    // all their neighbours do.
    Fixture daemon;
    daemon.outlet.known = {{.id = {"peer"}, .endpoint = "tcp://peer"}};
    daemon.run(std::chrono::seconds{2}, nullptr);
    REQUIRE(!daemon.outlet.sent.empty());
    CHECK(std::get<Advert>(daemon.outlet.sent.front().second).version == 0);
    daemon.receiveAdvert(7, makeManifest(5));
    CHECK(daemon.bodyRequests() == 1);
    daemon.follower.handleBodyReply({"peer"}, {.hash = contentHash(makeManifest(5)), .manifest = makeManifest(5)}, daemon.clock.steadyNow());
    CHECK(daemon.outlet.inForce == std::vector<std::uint64_t>{7});
}

TEST_CASE("who lags is told what is in force, and gets the manifest on request")
{
    standin::PlatformStore store;
    accept(store, 0, makeManifest(3));
    Fixture daemon;
    daemon.run(std::chrono::seconds{4}, &store);
    daemon.outlet.sent.clear();
    daemon.follower.handleAdvert({"new"}, {.version = 0, .hash = {}, .endpoint = "tcp://new"}, daemon.clock.steadyNow());
    REQUIRE(daemon.outlet.sent.size() == 1);
    CHECK(daemon.outlet.sent.front().first.endpoint == "tcp://new");
    CHECK(std::get<Advert>(daemon.outlet.sent.front().second).version == 1);
    daemon.follower.handleBodyRequest({"new"}, {.hash = contentHash(makeManifest(3)), .endpoint = "tcp://new"});
    CHECK(std::get<BodyReply>(daemon.outlet.sent.back().second).manifest == makeManifest(3));
}

TEST_CASE("bytes of another hash are not taken")
{
    // A peer sends a manifest that was cut, or one of its own making. The daemon must not put it in force; it goes on to
    // ask the store and the peers in turn until the right bytes come.
    standin::PlatformStore store;
    accept(store, 0, makeManifest(3));
    Fixture daemon;
    daemon.receiveAdvert(1, makeManifest(3));
    daemon.follower.handleBodyReply({"peer"}, {.hash = contentHash(makeManifest(3)), .manifest = makeManifest(9)}, daemon.clock.steadyNow());
    CHECK(daemon.outlet.inForce.empty());
    CHECK(daemon.outlet.counted == std::vector<std::string>{"hash-mismatch"});
    daemon.run(std::chrono::seconds{2}, &store);
    CHECK(daemon.outlet.inForce == std::vector<std::uint64_t>{1});
    CHECK(daemon.outlet.slots == 3);
}

TEST_CASE("a peer that does not send the manifest is given up for the store, and the other way round")
{
    standin::PlatformStore store;
    accept(store, 0, makeManifest(3));
    Fixture silentPeer;
    silentPeer.receiveAdvert(1, makeManifest(3));
    silentPeer.run(std::chrono::seconds{1}, &store);
    CHECK(silentPeer.outlet.inForce == std::vector<std::uint64_t>{1});

    Fixture storeDown;
    storeDown.receiveAdvert(1, makeManifest(3));
    storeDown.run(std::chrono::seconds{4}, nullptr);
    CHECK(storeDown.bodyRequests() >= 2);
}

TEST_CASE("what is in force only rises, whatever comes late")
{
    // A daemon that was cut off comes back and offers an old version; answers of the platform arrive out of order. A limit
    // that an operator lowered would be raised again.
    standin::PlatformStore store;
    accept(store, 0, makeManifest(3));
    accept(store, 1, makeManifest(4));
    Fixture daemon;
    daemon.run(std::chrono::seconds{4}, &store);
    REQUIRE(daemon.outlet.inForce == std::vector<std::uint64_t>{2});
    daemon.receiveAdvert(1, makeManifest(3));
    daemon.follower.handleBodyReply({"peer"}, {.hash = contentHash(makeManifest(3)), .manifest = makeManifest(3)}, daemon.clock.steadyNow());
    daemon.run(std::chrono::seconds{10}, &store);
    CHECK(daemon.outlet.inForce == std::vector<std::uint64_t>{2});
    CHECK(daemon.outlet.slots == 4);
}

TEST_CASE("a manifest that this program does not understand is left alone, and fetched once")
{
    standin::PlatformStore store;
    accept(store, 0, "{\"of\":\"a newer program\"}");
    Fixture daemon;
    daemon.run(std::chrono::seconds{20}, &store);
    CHECK(daemon.outlet.inForce.empty());
    CHECK(daemon.outlet.counted == std::vector<std::string>{"manifest-not-understood"});
    CHECK(daemon.follower.newestKnown() == 1);
}

TEST_CASE("the fleet reads the head row at a rate that does not grow with it")
{
    constexpr std::size_t daemons = 300;
    constexpr std::chrono::seconds span{60};
    Fixture daemon;
    daemon.outlet.known.resize(daemons - 1);
    standin::PlatformStore store;
    std::size_t reads = 0;
    for (Duration passed{}; passed < span; passed += std::chrono::milliseconds{50}) {
        daemon.clock.advance(std::chrono::milliseconds{50});
        daemon.follower.tick(daemon.clock.steadyNow());
        reads += daemon.outlet.asked.size();
        daemon.answerAll(&store);
    }
    CHECK(reads * daemons / span.count() <= 20);
}

TEST_CASE("a platform that is down is asked less and less, and not for ever less")
{
    Fixture daemon;
    std::size_t reads = 0;
    for (int step = 0; step < 20 * 300; ++step) {
        daemon.clock.advance(std::chrono::milliseconds{50});
        daemon.follower.tick(daemon.clock.steadyNow());
        reads += daemon.outlet.asked.size();
        daemon.answerAll(nullptr);
    }
    CHECK(reads >= 10);
    CHECK(reads <= 40);
}
