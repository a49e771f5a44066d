#ifndef EGRETLATCH_SETTINGS_COMMON_READERS_HPP
#define EGRETLATCH_SETTINGS_COMMON_READERS_HPP

#include <egretlatch/settings/daemon_settings.hpp>
#include <egretlatch/settings/json_object_reader.hpp>

namespace egretlatch::settings
{

/*! @brief Reads `policy`; defaults to `adaptive`. */
[[nodiscard]] Policy readPolicy(JsonObjectReader &reader);

/*! @brief Reads `logLevel`; defaults to `info`. */
[[nodiscard]] LogLevel readLogLevel(JsonObjectReader &reader);

} // namespace egretlatch::settings

#endif
