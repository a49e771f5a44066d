#ifndef EGRETLATCH_DAEMON_CORE_OPTIONS_HPP
#define EGRETLATCH_DAEMON_CORE_OPTIONS_HPP

#include <egretlatch/admission/cost_source.hpp>
#include <egretlatch/admission/gate_rules.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/decision/core.hpp>
#include <egretlatch/settings/daemon_settings.hpp>

namespace egretlatch::daemon
{

/*! @brief Options of the adaptive policy; the baseline policies ignore them. */
struct AdaptiveOptions
{
    admission::GateRules gate;
    /*! @brief Source of the service costs that the entry daemon uses. */
    admission::CostSource costSource{admission::CostSource::declared};
    /*! @brief Enables refusing roots at the entry daemon by the admission levels of their downstream services. */
    bool refusesAtEntry{true};
    /*! @brief Selects servers by their observed behaviour instead of by their load alone. */
    bool usesAdaptiveRouter{true};

    friend bool operator==(const AdaptiveOptions &, const AdaptiveOptions &) = default;
};

/**
 * @brief Sets the gate, entry control and router of a policy on a core builder.
 * @param policy Policy from the settings.
 * @param random Source of random numbers; must outlive the core.
 * @param builder Builder of the core.
 * @param options Options of the adaptive policy.
 */
void applyPolicy(settings::Policy policy, RandomSource &random, decision::CoreBuilder &builder, const AdaptiveOptions &options = {});

} // namespace egretlatch::daemon

#endif
