#include <egretlatch/sidecar/adaptive_options.hpp>

namespace egretlatch::sidecar
{

namespace internal
{

constexpr std::chrono::milliseconds minDrainTarget{80};
// For servers with a dozen slots: demand that is averaged over less is mostly noise, and cuts ranks above the one that is too much.
constexpr admission::LevelTimes levelTimes{
    .demandWindow = std::chrono::milliseconds{600}, .minStepInterval = std::chrono::milliseconds{100}, .maxStepInterval = std::chrono::milliseconds{600}};

} // namespace internal

daemon::AdaptiveOptions adaptiveOptions(const settings::DisabledMechanisms &disabledMechanisms)
{
    const auto has = [&disabledMechanisms](const settings::Mechanism mechanism) {
        return !disabledMechanisms.contains(mechanism);
    };
    using settings::Mechanism;
    daemon::AdaptiveOptions options;
    options.gate.areSlotsTrusted = has(Mechanism::trustedSlots);
    options.gate.keepsInnerCalls = has(Mechanism::keptInnerCalls);
    options.gate.minDrainTarget = has(Mechanism::longQueues) ? internal::minDrainTarget : std::chrono::milliseconds{};
    options.gate.level = has(Mechanism::slowLevels) ? internal::levelTimes : admission::LevelTimes{};
    options.costSource = has(Mechanism::wholeCosts) ? admission::CostSource::observed : admission::CostSource::declared;
    options.refusesAtEntry = has(Mechanism::entryRefusals);
    options.usesAdaptiveRouter = has(Mechanism::serverKnowledge);
    return options;
}

} // namespace egretlatch::sidecar
