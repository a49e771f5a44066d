#include <doctest/doctest.h>

#include <fakes/counting_metrics.hpp>
#include <fakes/manual_clock.hpp>

#include <egretlatch/decision/core.hpp>

using namespace egretlatch;
using namespace egretlatch::decision;

namespace
{

/*! @brief Records the queue target, and runs nothing. */
class RecordingGate final : public admission::Gate
{
public:
    explicit RecordingGate(Duration &target)
        : m_target{target}
    {
    }

    admission::GateRelease offer(const admission::Ticket & /*ticket*/, SteadyTime /*now*/) override
    {
        return {};
    }

    admission::GateRelease finish(ExecutionId /*execution*/, const admission::Observation & /*observation*/, SteadyTime /*now*/) override
    {
        return {};
    }

    bool withdraw(ExecutionId /*execution*/) override
    {
        return false;
    }

    admission::GateRelease tick(SteadyTime /*now*/) override
    {
        return {};
    }

    void setSlots(int /*slots*/) override
    {
    }

    void setQueueTarget(const Duration target) override
    {
        m_target = target;
    }

    [[nodiscard]] admission::LoadReport load(SteadyTime /*now*/) const override
    {
        return {};
    }

private:
    Duration &m_target;
};

} // namespace

TEST_CASE("a manifest of version 0 configures the gate of a server that announced itself earlier")
{
    // Guards against a gate that keeps its default queue target: a backend server is up before its daemon has read the manifest
    // from the settings, which has version 0 if there is a platform, and the version did not differ from that of no manifest.
    fakes::ManualClock clock;
    SeededRandom random{1};
    fakes::CountingMetrics metrics;
    Duration target{};
    membership::Member self;
    self.id = {"roster-0"};
    CoreBuilder builder{clock, random, metrics};
    const auto core = builder.setSelf(self).setGate(std::make_unique<RecordingGate>(target)).build();
    static_cast<void>(core->handle(ServerAnnounced{.service = "roster", .slots = 2, .connections = 10, .instance = {}}));
    manifest::ServiceSpec service;
    service.name = "roster";
    service.queueTarget = std::chrono::milliseconds{37};

    static_cast<void>(core->handle(ManifestChanged{.version = 0, .manifest = manifest::ManifestBuilder{}.addService(service).build()}));

    CHECK(target == std::chrono::milliseconds{37});
}
