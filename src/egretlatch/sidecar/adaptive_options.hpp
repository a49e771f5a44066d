#ifndef EGRETLATCH_SIDECAR_ADAPTIVE_OPTIONS_HPP
#define EGRETLATCH_SIDECAR_ADAPTIVE_OPTIONS_HPP

#include <egretlatch/daemon/core_options.hpp>
#include <egretlatch/settings/mechanism.hpp>

namespace egretlatch::sidecar
{

/**
 * @brief Gives how daemons on the users' machines decide.
 * @param disabledMechanisms What an experiment does without.
 * @return The options of the adaptive policy.
 */
[[nodiscard]] daemon::AdaptiveOptions adaptiveOptions(const settings::DisabledMechanisms &disabledMechanisms);

} // namespace egretlatch::sidecar

#endif
