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

/*! @brief What one daemon answered to a question for its status. */
struct DaemonAnswer
{
    std::string url;
    /*! @brief Nothing if it gave no answer, or one that is no status. */
    std::optional<configuration::Report> report;

    friend bool operator==(const DaemonAnswer &, const DaemonAnswer &) = default;
};

/*! @brief What `egretlatch status` is told. */
struct StatusOptions
{
    /*! @brief Base URLs of daemons. */
    std::vector<std::string> daemons;
    std::string tokenPath;
};

/**
 * @brief Reads the configuration part of a daemon's `/status`.
 * @param json The document.
 * @return The report, or nothing for any other document.
 */
[[nodiscard]] std::optional<configuration::Report> parseReport(const QByteArray &json);

/**
 * @brief Puts together what is in force where.
 *
 * A daemon that answered speaks for itself; of the others, what was heard last counts.
 * @param answers The answers of the daemons asked.
 * @return A table for people; `lagging` if any daemon is behind the newest version or gave no answer.
 */
[[nodiscard]] CommandResult describeFleet(const std::vector<DaemonAnswer> &answers);

/**
 * @brief Runs `egretlatch status`.
 * @param options What the command line says.
 * @param argc Count of the program's arguments.
 * @param argv The program's arguments.
 * @return An ExitCode.
 */
[[nodiscard]] int runStatus(const StatusOptions &options, int argc, char **argv);

} // namespace egretlatch::cli

#endif
