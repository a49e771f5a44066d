#ifndef EGRETLATCH_DAEMON_CORE_OPTIONS_HPP
#define EGRETLATCH_DAEMON_CORE_OPTIONS_HPP

#include <egretlatch/admission/cost_source.hpp>
#include <egretlatch/admission/gate_rules.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/decision/core.hpp>
#include <egretlatch/settings/daemon_settings.hpp>

namespace egretlatch::daemon
{

/*! @brief How the adaptive policy decides; the baselines have none of it. */
struct AdaptiveOptions
{
    admission::GateRules gate;
    /*! @brief Where the entry knows costs from. */
    admission::CostSource costSource{admission::CostSource::declared};
    /*! @brief Whether roots are refused at their entry by the levels down their chain. */
    bool refusesAtEntry{true};
    /*! @brief Whether servers are chosen by what they have shown of themselves. */
    bool usesAdaptiveRouter{true};

    friend bool operator==(const AdaptiveOptions &, const AdaptiveOptions &) = default;
};

/**
 * @brief Gives a core the gate, entry control and router of a policy.
 * @param policy The policy of the settings.
 * @param random Source of random numbers; must outlive the core.
 * @param builder The builder to set them on.
 * @param options How the adaptive policy decides.
 */
void applyPolicy(settings::Policy policy, RandomSource &random, decision::CoreBuilder &builder, const AdaptiveOptions &options = {});

} // namespace egretlatch::daemon

#endif
