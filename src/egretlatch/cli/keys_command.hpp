#ifndef EGRETLATCH_CLI_KEYS_COMMAND_HPP
#define EGRETLATCH_CLI_KEYS_COMMAND_HPP

namespace egretlatch::cli
{

/**
 * @brief Generates a key pair for the connections between daemons and prints it as JSON.
 * @return An ExitCode.
 */
[[nodiscard]] int makeKeys();

} // namespace egretlatch::cli

#endif
