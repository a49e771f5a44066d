#ifndef EGRETLATCH_CLI_SUBMIT_COMMAND_HPP
#define EGRETLATCH_CLI_SUBMIT_COMMAND_HPP

#include <cstdint>
#include <memory>
#include <string>

#include <egretlatch/cli/exit_code.hpp>
#include <egretlatch/cli/platform_port.hpp>
#include <egretlatch/configuration/submission.hpp>
#include <egretlatch/core/random_source.hpp>

namespace egretlatch::cli
{

/*! @brief Location of the platform: its URL and token, or the settings file of a daemon that has them. */
struct PlatformOptions
{
    std::string url;
    std::string settingsPath;
    std::string tokenPath;
};

/*! @brief Command-line options of `egretlatch submit`. */
struct SubmitOptions
{
    std::string manifestPath;
    std::uint64_t base{};
    PlatformOptions platform;
    /*! @brief Id of an earlier submission with an unknown outcome, to resume it; empty for a new one. */
    std::string submission;
    std::string submitter;
    int timeoutSeconds{60};
};

/*! @brief Output and exit code of a command. */
struct CommandResult
{
    ExitCode code{};
    std::string text;

    friend bool operator==(const CommandResult &, const CommandResult &) = default;
};

/**
 * @brief Repeats the steps of a submission until it is decided or the maximum wait has passed.
 * @param request The submission.
 * @param port The platform.
 * @param random Source of jitter.
 * @param maxWait Maximum total time to wait between attempts.
 * @return The text to print for the operator.
 */
[[nodiscard]] CommandResult submit(const configuration::SubmissionRequest &request, PlatformPort &port, RandomSource &random, Duration maxWait);

/**
 * @brief Opens access to the platform; requires an application object.
 * @param options The command-line options.
 * @return The platform; null if the options do not suffice, which is reported on standard error.
 */
[[nodiscard]] std::unique_ptr<PlatformPort> openPlatform(const PlatformOptions &options);

/**
 * @brief Runs `egretlatch submit`.
 * @param options The command-line options.
 * @param argc Count of the program's arguments.
 * @param argv The program's arguments.
 * @return An ExitCode.
 */
[[nodiscard]] int runSubmit(const SubmitOptions &options, int argc, char **argv);

} // namespace egretlatch::cli

#endif
