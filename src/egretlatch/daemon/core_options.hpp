#ifndef EGRETLATCH_DAEMON_CORE_OPTIONS_HPP
#define EGRETLATCH_DAEMON_CORE_OPTIONS_HPP

#include <egretlatch/admission/cost_source.hpp>
#include <egretlatch/admission/gate_rules.hpp>
#include <egretlatch/core/random_source.hpp>
#include <egretlatch/decision/core.hpp>
#include <egretlatch/settings/daemon_settings.hpp>

namespace egretlatch::daemon
{

/**
 * @brief Gives a core the gate, entry control and router of a policy.
 * @param policy The policy of the settings.
 * @param random Source of random numbers; must outlive the core.
 * @param builder The builder to set them on.
 * @param rules Rules of an adaptive gate; the baselines have none.
 * @param costSource Where an adaptive entry knows costs from.
 */
void applyPolicy(settings::Policy policy, RandomSource &random, decision::CoreBuilder &builder, const admission::GateRules &rules = {},
                 admission::CostSource costSource = admission::CostSource::declared);

} // namespace egretlatch::daemon

#endif
