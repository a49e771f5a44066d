#include <egretlatch/daemon/core_options.hpp>

#include <egretlatch/admission/adaptive_gate.hpp>
#include <egretlatch/admission/open_entry.hpp>
#include <egretlatch/admission/open_gate.hpp>
#include <egretlatch/admission/priority_gate.hpp>
#include <egretlatch/admission/static_gate.hpp>
#include <egretlatch/admission/whole_chain_entry.hpp>
#include <egretlatch/routing/adaptive_router.hpp>
#include <egretlatch/routing/least_loaded_router.hpp>

namespace egretlatch::daemon
{

namespace internal
{

constexpr std::size_t baselineQueueCapacity = 1000;

// Baseline gates start with one slot; the backend server's first announcement sets the real number.
[[nodiscard]] static std::unique_ptr<admission::Gate> makeBaselineGate(const settings::Policy policy)
{
    if (policy == settings::Policy::none) {
        return std::make_unique<admission::OpenGate>();
    }
    if (policy == settings::Policy::staticLimit) {
        return std::make_unique<admission::StaticGate>(1, baselineQueueCapacity);
    }
    return std::make_unique<admission::PriorityGate>(1, baselineQueueCapacity);
}

} // namespace internal

void applyPolicy(const settings::Policy policy, RandomSource &random, decision::CoreBuilder &builder, const AdaptiveOptions &options)
{
    if (policy != settings::Policy::adaptive) {
        builder.setGate(internal::makeBaselineGate(policy));
        builder.setEntryControl(std::make_unique<admission::OpenEntry>());
        builder.setRouter(std::make_unique<routing::LeastLoadedRouter>(random));
        return;
    }
    builder.setGate(std::make_unique<admission::AdaptiveGate>(options.gate));
    if (options.refusesAtEntry) {
        builder.setEntryControl(std::make_unique<admission::WholeChainEntry>(random, options.costSource));
    } else {
        builder.setEntryControl(std::make_unique<admission::OpenEntry>());
    }
    if (options.usesAdaptiveRouter) {
        builder.setRouter(std::make_unique<routing::AdaptiveRouter>(random));
    } else {
        builder.setRouter(std::make_unique<routing::LeastLoadedRouter>(random));
    }
}

} // namespace egretlatch::daemon
