#include <doctest/doctest.h>

#include <deque>

#include <fakes/counting_metrics.hpp>
#include <fakes/in_memory_table.hpp>
#include <fakes/manual_clock.hpp>

#include <egretlatch/decision/core.hpp>

using namespace std::chrono_literals;
using namespace egretlatch;
using namespace egretlatch::decision;
using egretlatch::membership::MemberState;

namespace
{

constexpr std::uint64_t seed = 20261204;

// How the store treats the calls of a daemon.
enum class StoreFault {
    none,
    away,
    // Calls take effect, but their answers are lost.
    losesAnswers,
};

// The table outlives the daemons that use it.
struct Store
{
    fakes::InMemoryTable table;
    StoreFault fault{StoreFault::none};

    [[nodiscard]] store::Outcome apply(const store::Request &request)
    {
        if (fault == StoreFault::away) {
            return tl::unexpected{Error{ErrorCode::unavailable, "away"}};
        }
        store::Outcome outcome = table.apply(request);
        if (fault == StoreFault::losesAnswers) {
            return tl::unexpected{Error{ErrorCode::timedOut, "lost"}};
        }
        return outcome;
    }
};

// One incarnation of the daemon `self`, with the actions that it reported.
class Daemon
{
public:
    Daemon(fakes::ManualClock &clock, Store &store, const std::uint64_t incarnation, const bool isFirstStart = false)
        : m_clock{clock}
        , m_store{store}
        , m_random{seed + incarnation}
    {
        membership::Member self;
        self.id = {"self"};
        self.incarnation = {incarnation};
        self.endpoint = "tcp://self";
        m_core = CoreBuilder{clock, m_random, m_metrics}.setSelf(self).followPlatform().setConfigurationFeed().keepDepartures(isFirstStart).build();
        handle(Tick{});
    }

    void handle(const Event &event)
    {
        std::deque<Event> events{event};
        while (!events.empty()) {
            for (const Action &action : m_core->handle(events.front())) {
                if (const auto *const toPlatform = std::get_if<SendToPlatform>(&action)) {
                    events.emplace_back(PlatformAnswered{.id = toPlatform->id, .outcome = m_store.apply(toPlatform->request)});
                } else if (const auto *const saved = std::get_if<DepartureSaved>(&action)) {
                    m_saved.push_back(saved->instance);
                } else if (const auto *const known = std::get_if<DeparturesKnown>(&action)) {
                    m_known = known->source;
                }
            }
            events.pop_front();
        }
    }

    void advance(const Duration span)
    {
        constexpr std::chrono::milliseconds step{100};
        for (Duration passed{}; passed < span; passed += step) {
            m_clock.advance(step);
            handle(Tick{});
        }
    }

    void announce(const std::string &instance)
    {
        handle(ServerAnnounced{.service = "log", .slots = 8, .connections = 8, .instance = instance});
    }

    void leave(const std::string &instance)
    {
        handle(ServerDraining{.instance = instance});
    }

    // Receives the answer of another daemon to a probe.
    void receiveAck(const bool knewPredecessor, std::vector<membership::Rumour> rumours = {})
    {
        membership::Member other;
        other.id = {"other"};
        other.incarnation = {1};
        other.endpoint = "tcp://other";
        protocol::Gossip gossip;
        gossip.purpose = membership::GossipPurpose::ack;
        gossip.members = {other};
        gossip.rumours = std::move(rumours);
        gossip.knewPredecessor = knewPredecessor;
        handle(PeerMessage{.envelope = {.sender = other.id, .incarnation = other.incarnation, .message = gossip}});
    }

    [[nodiscard]] bool isServing() const
    {
        return m_core->roster().self().state == MemberState::serving;
    }

    [[nodiscard]] const Core &core() const
    {
        return *m_core;
    }

    [[nodiscard]] const std::vector<std::string> &saved() const
    {
        return m_saved;
    }

    [[nodiscard]] std::optional<DepartureSource> known() const
    {
        return m_known;
    }

private:
    fakes::ManualClock &m_clock;
    Store &m_store;
    SeededRandom m_random;
    fakes::CountingMetrics m_metrics;
    std::unique_ptr<Core> m_core;
    std::vector<std::string> m_saved;
    std::optional<DepartureSource> m_known;
};

struct Fixture
{
    fakes::ManualClock clock;
    Store store;
    std::uint64_t incarnation{};

    [[nodiscard]] Daemon start()
    {
        return Daemon{clock, store, ++incarnation};
    }

    // A daemon whose server leaves, is acknowledged, and which ends with all others right after.
    void leaveAndLoseAll(const std::string &instance)
    {
        Daemon daemon = start();
        daemon.announce(instance);
        REQUIRE(daemon.isServing());
        daemon.leave(instance);
        REQUIRE(daemon.core().isDepartureSaved(instance));
    }
};

} // namespace

TEST_CASE("late reports of a server that has left bring it no requests after all daemons were lost, in whatever number and distance")
{
    // Guards against requests for a server that left: its departure was known only to daemons that were killed.
    Fixture fixture;
    fixture.leaveAndLoseAll("i-1#5");
    Daemon daemon = fixture.start();
    for (const auto distance : {0ms, 20ms, 200ms, 500ms, 1500ms, 30'000ms, 600'000ms}) {
        daemon.advance(distance);
        daemon.announce("i-1#5");
        CHECK_FALSE(daemon.isServing());
    }
}

TEST_CASE("a departure still binds after several losses of all daemons")
{
    Fixture fixture;
    fixture.leaveAndLoseAll("i-1#5");
    for (int restart = 0; restart < 3; ++restart) {
        Daemon daemon = fixture.start();
        daemon.announce("i-1#5");
        daemon.advance(1s);
        daemon.announce("i-1#5");
        CHECK_FALSE(daemon.isServing());
        daemon.announce("i-2#9");
        CHECK(daemon.isServing());
    }
}

TEST_CASE("a server that is well is announced by its first report after a start")
{
    Fixture fixture;
    Daemon daemon = fixture.start();
    daemon.announce("i-1#5");
    CHECK(daemon.isServing());
    CHECK((daemon.known() == DepartureSource::store));
}

TEST_CASE("a report that arrives while the store is away after a loss of all daemons brings no requests until the store is back")
{
    Fixture fixture;
    fixture.leaveAndLoseAll("i-1#5");
    fixture.store.fault = StoreFault::away;
    Daemon daemon = fixture.start();
    for (int report = 0; report < 8; ++report) {
        daemon.announce("i-1#5");
        daemon.advance(500ms);
        CHECK_FALSE(daemon.isServing());
    }
    fixture.store.fault = StoreFault::none;
    daemon.advance(2s);
    CHECK((daemon.known() == DepartureSource::store));
    CHECK_FALSE(daemon.isServing());
}

TEST_CASE("a server whose reports were held back is announced once the store is back")
{
    Fixture fixture;
    fixture.store.fault = StoreFault::away;
    Daemon daemon = fixture.start();
    daemon.announce("i-1#5");
    daemon.advance(3s);
    CHECK_FALSE(daemon.isServing());
    daemon.announce("i-1#5");
    fixture.store.fault = StoreFault::none;
    daemon.advance(1500ms);
    CHECK(daemon.isServing());
}

TEST_CASE("a report that was held back for longer than reports count brings no requests")
{
    // Guards against requests for a server that crashed while its report was held back.
    Fixture fixture;
    fixture.store.fault = StoreFault::away;
    Daemon daemon = fixture.start();
    daemon.announce("i-1#5");
    daemon.advance(10s);
    fixture.store.fault = StoreFault::none;
    daemon.advance(2s);
    CHECK((daemon.known() == DepartureSource::store));
    CHECK_FALSE(daemon.isServing());
}

TEST_CASE("a server that leaves while its report is held back gets no requests")
{
    Fixture fixture;
    fixture.store.fault = StoreFault::away;
    Daemon daemon = fixture.start();
    daemon.announce("i-1#5");
    daemon.leave("i-1#5");
    CHECK_FALSE(daemon.core().isDepartureSaved("i-1#5"));
    fixture.store.fault = StoreFault::none;
    daemon.advance(2s);
    CHECK(daemon.core().isDepartureSaved("i-1#5"));
    CHECK_FALSE(daemon.isServing());
}

TEST_CASE("a departure is saved only once the store has answered, and its write is repeated until then")
{
    // Guards against an acknowledgement that binds nobody: the daemon ends before the store has the departure.
    Fixture fixture;
    Daemon daemon = fixture.start();
    daemon.announce("i-1#5");
    for (const StoreFault fault : {StoreFault::away, StoreFault::losesAnswers}) {
        fixture.store.fault = fault;
        daemon.leave("i-1#5");
        daemon.advance(3s);
        CHECK_FALSE(daemon.core().isDepartureSaved("i-1#5"));
        CHECK(daemon.saved().empty());
    }
    fixture.store.fault = StoreFault::none;
    daemon.advance(1500ms);
    CHECK(daemon.core().isDepartureSaved("i-1#5"));
    CHECK(daemon.saved() == std::vector<std::string>{"i-1#5"});
    daemon.leave("i-1#5");
    daemon.advance(1s);
    CHECK(daemon.saved().size() == 1);
}

TEST_CASE("while the store is away, a daemon trusts reports once another one answers that knew it before")
{
    // Guards against a server that is well and kept out for as long as the store is away, though only its daemon was restarted.
    Fixture fixture;
    fixture.store.fault = StoreFault::away;
    Daemon daemon = fixture.start();
    daemon.announce("i-1#5");
    daemon.receiveAck(false);
    daemon.advance(1500ms);
    CHECK_FALSE(daemon.isServing());
    daemon.receiveAck(true);
    CHECK(daemon.isServing());
    CHECK((daemon.known() == DepartureSource::peers));
}

TEST_CASE("a departure that another daemon tells binds though the store is away")
{
    Fixture fixture;
    fixture.store.fault = StoreFault::away;
    Daemon daemon = fixture.start();
    daemon.announce("i-1#5");
    const membership::RumourKey key{.kind = membership::RumourKind::departure, .key = membership::daemonRumourKey({"self"}, "i-1#5")};
    daemon.receiveAck(true, {{.key = key, .version = 1, .payload = {}, .remaining = 60s}});
    CHECK_FALSE(daemon.isServing());
    daemon.announce("i-1#5");
    CHECK_FALSE(daemon.isServing());
}

TEST_CASE("a departure that is told late ends a service that began on another daemon's word")
{
    // Guards against a server that left and serves on because the rumour of its departure was on its way when its daemon started.
    Fixture fixture;
    fixture.store.fault = StoreFault::away;
    Daemon daemon = fixture.start();
    daemon.announce("i-1#5");
    daemon.receiveAck(true);
    REQUIRE(daemon.isServing());
    daemon.advance(600ms);
    const membership::RumourKey key{.kind = membership::RumourKind::departure, .key = membership::daemonRumourKey({"self"}, "i-1#5")};
    daemon.receiveAck(true, {{.key = key, .version = 1, .payload = {}, .remaining = 60s}});
    CHECK_FALSE(daemon.isServing());
}

TEST_CASE("a departure that the store still names ends a service that began on another daemon's word")
{
    // Guards against a server that left and serves on because the daemon that vouched had not heard of its departure.
    Fixture fixture;
    fixture.leaveAndLoseAll("i-1#5");
    fixture.store.fault = StoreFault::away;
    Daemon daemon = fixture.start();
    daemon.announce("i-1#5");
    daemon.receiveAck(true);
    REQUIRE(daemon.isServing());
    fixture.store.fault = StoreFault::none;
    daemon.advance(1500ms);
    CHECK_FALSE(daemon.isServing());
}

TEST_CASE("a fleet that starts for the first time reads no departures")
{
    Fixture fixture;
    fixture.store.fault = StoreFault::away;
    Daemon daemon{fixture.clock, fixture.store, 1, true};
    daemon.announce("i-1#5");
    CHECK(daemon.isServing());
}
