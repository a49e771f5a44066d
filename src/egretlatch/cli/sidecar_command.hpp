#ifndef EGRETLATCH_CLI_SIDECAR_COMMAND_HPP
#define EGRETLATCH_CLI_SIDECAR_COMMAND_HPP

#include <string>

namespace egretlatch::cli
{

/**
 * @brief Runs the daemon of a VM that the platform runs, until SIGTERM.
 * @param settingsPath Settings file (JSON).
 * @param argc As main() got it.
 * @param argv As main() got it.
 * @return An exit code.
 */
[[nodiscard]] int runSidecar(const std::string &settingsPath, int argc, char **argv);

} // namespace egretlatch::cli

#endif
