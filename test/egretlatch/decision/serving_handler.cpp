#include <doctest/doctest.h>

#include <algorithm>

#include <fakes/counting_metrics.hpp>
#include <fakes/manual_clock.hpp>

#include <egretlatch/admission/open_entry.hpp>
#include <egretlatch/admission/priority_gate.hpp>
#include <egretlatch/admission/static_gate.hpp>
#include <egretlatch/admission/whole_chain_entry.hpp>
#include <egretlatch/decision/core.hpp>

using namespace egretlatch;
using namespace egretlatch::decision;

namespace
{

constexpr std::uint64_t seed = 1;
constexpr Incarnation selfIncarnation{100};
constexpr Incarnation peerIncarnation{200};

[[nodiscard]] std::shared_ptr<const manifest::Manifest> rosterManifest()
{
    manifest::KindSpec read;
    read.name = "read";
    read.priority = 5;
    manifest::ServiceSpec service;
    service.name = "roster";
    service.slots = 1;
    service.kinds = {read};
    return manifest::ManifestBuilder{}.addService(service).build();
}

[[nodiscard]] CoreBuilder servingDaemon(const Clock &clock, RandomSource &random, account::MetricsSink &metrics)
{
    membership::Member self;
    self.id = {"serving"};
    self.incarnation = selfIncarnation;
    CoreBuilder builder{clock, random, metrics};
    builder.setSelf(self);
    return builder;
}

[[nodiscard]] protocol::CallRequest callOf(const std::uint64_t number, const std::chrono::milliseconds remaining)
{
    protocol::CallRequest request;
    request.call = {number};
    request.receiver = selfIncarnation;
    request.service = "roster";
    request.kind = "read";
    request.remaining = remaining;
    return request;
}

[[nodiscard]] std::ptrdiff_t countAnswers(const Actions &actions)
{
    return std::count_if(actions.begin(), actions.end(), [](const Action &action) {
        const auto *const send = std::get_if<SendToPeer>(&action);
        return send != nullptr && std::holds_alternative<protocol::CallAnswer>(send->message);
    });
}

// Offers three calls to a server with one slot, the second with a longer deadline than the others, advances the time past the
// short deadlines and counts the answers.
[[nodiscard]] std::ptrdiff_t answersToExpired(std::unique_ptr<admission::Gate> gate)
{
    constexpr std::chrono::milliseconds shortTime{100};
    constexpr std::chrono::milliseconds longTime{1000};
    fakes::ManualClock clock;
    SeededRandom random{seed};
    fakes::CountingMetrics metrics;
    const std::unique_ptr<Core> core = servingDaemon(clock, random, metrics).setGate(std::move(gate)).build();
    static_cast<void>(core->handle(ManifestChanged{.version = 1, .manifest = rosterManifest()}));
    static_cast<void>(core->handle(ServerAnnounced{.service = "roster", .slots = 1, .connections = 10, .instance = {}}));
    std::ptrdiff_t answers = 0;
    std::uint64_t number = 0;
    for (const std::chrono::milliseconds remaining : {shortTime, longTime, shortTime}) {
        ++number;
        answers += countAnswers(core->handle(PeerMessage{{.sender = {"entry"}, .incarnation = peerIncarnation, .message = callOf(number, remaining)}}));
    }
    clock.advance(shortTime);
    answers += countAnswers(core->handle(Tick{}));
    return answers;
}

// Returns the verdict of a daemon on a call meant for its previous incarnation.
[[nodiscard]] Verdict verdictOnWrongIncarnation(const Delivery delivery)
{
    fakes::ManualClock clock;
    SeededRandom random{seed};
    fakes::CountingMetrics metrics;
    const std::unique_ptr<Core> core = servingDaemon(clock, random, metrics).setDelivery(delivery).build();
    protocol::CallRequest request = callOf(1, std::chrono::milliseconds{100});
    request.receiver = Incarnation{selfIncarnation.value - 1};
    for (const Action &action : core->handle(PeerMessage{.envelope = {.sender = {"entry"}, .incarnation = peerIncarnation, .message = request}})) {
        const auto *const send = std::get_if<SendToPeer>(&action);
        if (send != nullptr && std::holds_alternative<protocol::CallAnswer>(send->message)) {
            return std::get<protocol::CallAnswer>(send->message).verdict;
        }
    }
    FAIL("no answer");
    return {};
}

} // namespace

TEST_CASE("a call for a previous incarnation has not run if a message reaches only one incarnation")
{
    CHECK((verdictOnWrongIncarnation(Delivery::oneIncarnation) == Verdict::notRun));
    CHECK((verdictOnWrongIncarnation(Delivery::severalIncarnations) == Verdict::mayHaveRun));
}

TEST_CASE("calls that expire at the same time are each answered once")
{
    // Guards against a daemon that crashes during a surge and takes its backend server out of the mesh. A running and a waiting
    // call expire at the same time, with an unexpired call queued between them. Abandoning the running one frees its slot; the
    // gate starts the one between, finds the next expired and refuses it; then the daemon abandoned the removed call again.
    constexpr std::size_t queueCapacity = 10;
    constexpr std::ptrdiff_t expired = 2;

    CHECK(answersToExpired(std::make_unique<admission::StaticGate>(1, queueCapacity)) == expired);
    CHECK(answersToExpired(std::make_unique<admission::PriorityGate>(1, queueCapacity)) == expired);
}

TEST_CASE("the chain of a kind comes with each answer to a daemon that asks for it")
{
    fakes::ManualClock clock;
    SeededRandom random{seed};
    fakes::CountingMetrics metrics;
    const std::unique_ptr<Core> core = servingDaemon(clock, random, metrics)
                                           .setGate(std::make_unique<admission::StaticGate>(1, 10))
                                           .setEntryControl(std::make_unique<admission::WholeChainEntry>(random, admission::CostSource::observed))
                                           .build();
    static_cast<void>(core->handle(ManifestChanged{.version = 1, .manifest = rosterManifest()}));
    static_cast<void>(core->handle(ServerAnnounced{.service = "roster", .slots = 1, .connections = 10, .instance = {}}));
    int chains = 0;
    constexpr std::uint64_t calls = 5;
    for (std::uint64_t number = 1; number <= calls; ++number) {
        protocol::CallRequest request = callOf(number, std::chrono::milliseconds{1000});
        request.wantsChain = true;
        static_cast<void>(core->handle(PeerMessage{{.sender = {"entry"}, .incarnation = peerIncarnation, .message = request}}));
        clock.advance(std::chrono::milliseconds{10});
        for (const Action &action : core->handle(RunEnded{.execution = {number}, .result = RunAnswer{.status = 200, .headers = {}, .body = {}}})) {
            const auto *const send = std::get_if<SendToPeer>(&action);
            const auto *const answer = send == nullptr ? nullptr : std::get_if<protocol::CallAnswer>(&send->message);
            chains += answer != nullptr && !answer->chain.empty() ? 1 : 0;
        }
    }
    CHECK(chains == calls);
}

namespace
{

// Admits no root, as an entry control does while a service that all roots lead to is full.
class ClosedEntry final : public admission::EntryControl
{
public:
    void setManifest(std::shared_ptr<const manifest::Manifest> manifest) override
    {
        m_open.setManifest(std::move(manifest));
    }

    [[nodiscard]] admission::Rank rankOf(const std::string &service, const std::string &kind) const override
    {
        return m_open.rankOf(service, kind);
    }

    [[nodiscard]] admission::RankClass
    classAt(const std::string &service, const std::string &kind, const admission::Rank &rank, const admission::RootCosts &costs) const override
    {
        return m_open.classAt(service, kind, rank, costs);
    }

    void noteLoad(const admission::ServerLoadReport & /*report*/, SteadyTime /*now*/) override
    {
    }

    void noteLevel(const admission::ServiceLevelReport & /*report*/) override
    {
    }

    [[nodiscard]] std::vector<admission::ServiceLevelReport> downstreamLevels(const std::string & /*service*/, SteadyTime /*now*/) override
    {
        return {};
    }

    [[nodiscard]] std::optional<admission::EntryRefusal> check(const admission::EntryRequest & /*request*/, SteadyTime /*now*/) override
    {
        return admission::EntryRefusal{.reason = account::RefusalReason::overloadAtEntry, .rule = "full", .figures = {}, .retryAfter = {}};
    }

private:
    admission::OpenEntry m_open;
};

} // namespace

TEST_CASE("a root of an entry daemon that does not know its chain is checked by the first serving daemon")
{
    // Guards against the first seconds after a start, in which entry daemons admit roots that fail at a full service after they have
    // run at others.
    fakes::ManualClock clock;
    SeededRandom random{seed};
    fakes::CountingMetrics metrics;
    const std::unique_ptr<Core> core =
        servingDaemon(clock, random, metrics).setGate(std::make_unique<admission::StaticGate>(10, 10)).setEntryControl(std::make_unique<ClosedEntry>()).build();
    static_cast<void>(core->handle(ManifestChanged{.version = 1, .manifest = rosterManifest()}));
    static_cast<void>(core->handle(ServerAnnounced{.service = "roster", .slots = 10, .connections = 10, .instance = {}}));
    const auto offer = [&core](const std::uint64_t number, const bool wantsChain, const int depth) {
        protocol::CallRequest request = callOf(number, std::chrono::milliseconds{1000});
        request.wantsChain = wantsChain;
        request.depth = depth;
        return countAnswers(core->handle(PeerMessage{{.sender = {"entry"}, .incarnation = peerIncarnation, .message = request}}));
    };
    CHECK(offer(1, true, 0) == 1);
    CHECK(offer(2, false, 0) == 0);
    CHECK(offer(3, true, 1) == 0);
}

namespace
{

// A daemon whose backend server ends under each run of one request.
struct CrashingServer
{
    fakes::ManualClock clock;
    SeededRandom random{seed};
    fakes::CountingMetrics metrics;
    std::unique_ptr<Core> core = servingDaemon(clock, random, metrics).setGate(std::make_unique<admission::StaticGate>(1, 10)).build();
    std::uint64_t calls{};

    CrashingServer()
    {
        static_cast<void>(core->handle(ManifestChanged{.version = 1, .manifest = rosterManifest()}));
    }

    void announce(const std::string &instance)
    {
        static_cast<void>(core->handle(ServerAnnounced{.service = "roster", .slots = 1, .connections = 10, .instance = instance}));
    }

    Actions call()
    {
        return core->handle(PeerMessage{{.sender = {"entry"}, .incarnation = peerIncarnation, .message = callOf(++calls, std::chrono::seconds{1})}});
    }

    void crash()
    {
        static_cast<void>(call());
        static_cast<void>(core->handle(RunEnded{.execution = {calls}, .result = RunFailure::lost}));
        static_cast<void>(core->handle(ServerUnreachable{}));
        clock.advance(std::chrono::seconds{3});
    }
};

[[nodiscard]] const protocol::CallAnswer *answerIn(const Actions &actions)
{
    for (const Action &action : actions) {
        const auto *const send = std::get_if<SendToPeer>(&action);
        const auto *const answer = send == nullptr ? nullptr : std::get_if<protocol::CallAnswer>(&send->message);
        if (answer != nullptr) {
            return answer;
        }
    }
    return nullptr;
}

} // namespace

TEST_CASE("a request that has crashed three servers is refused beside the server, too, as not run")
{
    // Guards against an entry daemon that has not learned of the crashes: it would send the request on.
    CrashingServer daemon;
    for (const char *const instance : {"a", "b", "c"}) {
        daemon.announce(instance);
        daemon.crash();
    }
    daemon.announce("d");

    const Actions actions = daemon.call();
    const protocol::CallAnswer *const answer = answerIn(actions);
    REQUIRE(answer != nullptr);
    CHECK((answer->verdict == Verdict::notRun));
    REQUIRE(answer->refusal.has_value());
    CHECK((answer->refusal->reason == account::RefusalReason::quarantined));
}

TEST_CASE("a server that leaves as announced while a run is lost has not crashed")
{
    CrashingServer daemon;
    for (const char *const instance : {"a", "b", "c"}) {
        daemon.announce(instance);
        static_cast<void>(daemon.call());
        static_cast<void>(daemon.core->handle(RunEnded{.execution = {daemon.calls}, .result = RunFailure::lost}));
        static_cast<void>(daemon.core->handle(ServerDraining{.instance = instance}));
        daemon.clock.advance(std::chrono::seconds{1});
    }
    daemon.announce("d");

    CHECK(answerIn(daemon.call()) == nullptr);
}
