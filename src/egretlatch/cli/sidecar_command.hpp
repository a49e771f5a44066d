#ifndef EGRETLATCH_CLI_SIDECAR_COMMAND_HPP
#define EGRETLATCH_CLI_SIDECAR_COMMAND_HPP

#include <string>

namespace egretlatch::cli
{

/**
 * @brief Runs the daemon on a VM managed by the platform until it has drained after SIGTERM or SIGINT; SIGHUP reloads the
 * settings.
 * @param settingsPath Path of its settings file (JSON).
 * @param argc Count of the program's arguments.
 * @param argv The program's arguments.
 * @return An ExitCode.
 */
[[nodiscard]] int runSidecar(const std::string &settingsPath, int argc, char **argv);

} // namespace egretlatch::cli

#endif
