#ifndef EGRETLATCH_CLI_STATUS_COMMAND_HPP
#define EGRETLATCH_CLI_STATUS_COMMAND_HPP

#include <optional>
#include <string>
#include <vector>

#include <QByteArray>

#include <egretlatch/cli/submit_command.hpp>
#include <egretlatch/configuration/report.hpp>

namespace egretlatch::cli
{

/*! @brief Answer of one daemon to a status request. */
struct DaemonAnswer
{
    std::string url;
    /*! @brief Nothing if the daemon did not answer, or its answer is not a status document. */
    std::optional<configuration::Report> report;

    friend bool operator==(const DaemonAnswer &, const DaemonAnswer &) = default;
};

/*! @brief Command-line options of `egretlatch status`. */
struct StatusOptions
{
    /*! @brief Base URLs of daemons. */
    std::vector<std::string> daemons;
    std::string tokenPath;
};

/**
 * @brief Reads the configuration part of a daemon's `/status`.
 * @param json The document.
 * @return The report; nothing for any other document.
 */
[[nodiscard]] std::optional<configuration::Report> parseReport(const QByteArray &json);

/**
 * @brief Merges the answers of several daemons into a table of the version in force on each known daemon.
 *
 * A daemon that answered is shown with its own report; any other with the highest version that an answering daemon received
 * from it.
 * @param answers The answers of the queried daemons.
 * @return The table as text; `lagging` if any daemon is behind the newest version or did not answer.
 */
[[nodiscard]] CommandResult describeFleet(const std::vector<DaemonAnswer> &answers);

/**
 * @brief Runs `egretlatch status`.
 * @param options The command-line options.
 * @param argc Count of the program's arguments.
 * @param argv The program's arguments.
 * @return An ExitCode.
 */
[[nodiscard]] int runStatus(const StatusOptions &options, int argc, char **argv);

} // namespace egretlatch::cli

#endif
