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
 * @brief Reads a file whole.
 * @param path Path of the file.
 * @return Its bytes, or nothing after a line on standard error.
 */
[[nodiscard]] std::optional<QByteArray> readFile(const std::string &path);

/**
 * @brief Reads and checks a settings file.
 * @param path Path of the file.
 * @return The settings, or nothing after a line on standard error for each problem.
 */
[[nodiscard]] std::optional<settings::DaemonSettings> readSettings(const std::string &path);

/**
 * @brief Reads and checks a manifest; warnings go to standard error too.
 * @param path Path of the file.
 * @return The manifest, or nothing after a line on standard error for each problem.
 */
[[nodiscard]] std::shared_ptr<const manifest::Manifest> readManifest(const std::string &path);

/**
 * @brief Reads a token from a file, without the white space around it.
 * @param path Path of the file; empty for no token.
 * @return The token, or nothing after a line on standard error if the file cannot be read or holds none.
 */
[[nodiscard]] std::optional<Secret> readToken(const std::string &path);

} // namespace egretlatch::cli

#endif
