#ifndef EGRETLATCH_SIDECAR_ADAPTIVE_OPTIONS_HPP
#define EGRETLATCH_SIDECAR_ADAPTIVE_OPTIONS_HPP

#include <egretlatch/daemon/core_options.hpp>
#include <egretlatch/settings/mechanism.hpp>

namespace egretlatch::sidecar
{

/**
 * @brief Returns the options of the adaptive policy for daemons on the platform's VMs.
 * @param disabledMechanisms Mechanisms that an experiment disables.
 * @return The options.
 */
[[nodiscard]] daemon::AdaptiveOptions adaptiveOptions(const settings::DisabledMechanisms &disabledMechanisms);

} // namespace egretlatch::sidecar

#endif
