#include <egretlatch/sidecar/adaptive_options.hpp>

namespace egretlatch::sidecar
{

namespace internal
{

constexpr std::chrono::milliseconds minDrainTarget{80};
// Suits backend servers with about a dozen slots. Demand averaged over a shorter window is mostly noise there, and the level
// then refuses ranks above the one that exceeds capacity.
constexpr admission::LevelTimes levelTimes{
    .demandWindow = std::chrono::milliseconds{600}, .minStepInterval = std::chrono::milliseconds{100}, .maxStepInterval = std::chrono::milliseconds{600}};

} // namespace internal

daemon::AdaptiveOptions adaptiveOptions(const settings::DisabledMechanisms &disabledMechanisms)
{
    const auto isEnabled = [&disabledMechanisms](const settings::Mechanism mechanism) {
        return !disabledMechanisms.contains(mechanism);
    };
    using settings::Mechanism;
    daemon::AdaptiveOptions options;
    options.gate.areSlotsTrusted = isEnabled(Mechanism::trustedSlots);
    options.gate.keepsInnerCalls = isEnabled(Mechanism::keptInnerCalls);
    options.gate.minDrainTarget = isEnabled(Mechanism::longQueues) ? internal::minDrainTarget : std::chrono::milliseconds{};
    options.gate.level = isEnabled(Mechanism::slowLevels) ? internal::levelTimes : admission::LevelTimes{};
    options.costSource = isEnabled(Mechanism::wholeCosts) ? admission::CostSource::observed : admission::CostSource::declared;
    options.refusesAtEntry = isEnabled(Mechanism::entryRefusals);
    options.usesAdaptiveRouter = isEnabled(Mechanism::serverKnowledge);
    return options;
}

} // namespace egretlatch::sidecar
