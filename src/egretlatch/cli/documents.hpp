#ifndef EGRETLATCH_CLI_DOCUMENTS_HPP
#define EGRETLATCH_CLI_DOCUMENTS_HPP

#include <optional>
#include <string>

#include <QByteArray>

#include <egretlatch/core/secret.hpp>
#include <egretlatch/manifest/manifest.hpp>
#include <egretlatch/settings/daemon_settings.hpp>

namespace egretlatch::cli
{

/**
 * @brief Reads a whole file.
 * @param path Path of the file.
 * @return Its bytes; nothing if it cannot be read, which is reported on standard error.
 */
[[nodiscard]] std::optional<QByteArray> readFile(const std::string &path);

/**
 * @brief Reads and validates a settings file.
 * @param path Path of the file.
 * @return The settings; nothing if they have errors, each of which is reported on standard error.
 */
[[nodiscard]] std::optional<settings::DaemonSettings> readSettings(const std::string &path);

/**
 * @brief Reads and validates a manifest; its warnings are also printed to standard error.
 * @param path Path of the file.
 * @return The manifest; null if it has errors, each of which is reported on standard error.
 */
[[nodiscard]] std::shared_ptr<const manifest::Manifest> readManifest(const std::string &path);

/**
 * @brief Reads a token from a file and strips surrounding white space.
 * @param path Path of the file; empty for no token.
 * @return The token; nothing if the file cannot be read or is empty, which is reported on standard error.
 */
[[nodiscard]] std::optional<Secret> readToken(const std::string &path);

} // namespace egretlatch::cli

#endif
