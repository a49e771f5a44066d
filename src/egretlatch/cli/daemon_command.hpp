#ifndef EGRETLATCH_CLI_DAEMON_COMMAND_HPP
#define EGRETLATCH_CLI_DAEMON_COMMAND_HPP

#include <string>

namespace egretlatch::cli
{

/**
 * @brief Runs a daemon until it has drained after SIGTERM or SIGINT.
 * @param settingsPath Path of its settings.
 * @param argc Count of the program's arguments.
 * @param argv The program's arguments.
 * @return An ExitCode.
 */
[[nodiscard]] int runDaemon(const std::string &settingsPath, int argc, char **argv);

} // namespace egretlatch::cli

#endif
