#include <egretlatch/daemon/core_options.hpp>

#include <egretlatch/admission/open_entry.hpp>
#include <egretlatch/admission/static_gate.hpp>
#include <egretlatch/routing/least_loaded_router.hpp>

namespace egretlatch::daemon
{

void applyPolicy(const settings::Policy /*policy*/, RandomSource &random, decision::CoreBuilder &builder)
{
    constexpr std::size_t queueCapacity = 1000;
    builder.setGate(std::make_unique<admission::StaticGate>(1, queueCapacity));
    builder.setEntryControl(std::make_unique<admission::OpenEntry>());
    builder.setRouter(std::make_unique<routing::LeastLoadedRouter>(random));
}

} // namespace egretlatch::daemon
