#include <doctest/doctest.h>

#include <algorithm>

#include <fakes/counting_metrics.hpp>
#include <fakes/manual_clock.hpp>

#include <egretlatch/admission/priority_gate.hpp>
#include <egretlatch/admission/static_gate.hpp>
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
