#ifndef EGRETLATCH_CLI_KEY_DIGEST_COMMAND_HPP
#define EGRETLATCH_CLI_KEY_DIGEST_COMMAND_HPP

namespace egretlatch::cli
{

/**
 * @brief Prints the digest of the API key on the first line of standard input, as manifests hold it.
 * @return The exit code.
 */
[[nodiscard]] int printKeyDigest();

} // namespace egretlatch::cli

#endif
