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

/*! @brief Where a command finds the platform: by URL and token, or by a daemon's settings. */
struct PlatformOptions
{
    std::string url;
    std::string settingsPath;
    std::string tokenPath;
};

/*! @brief What `egretlatch submit` is told. */
struct SubmitOptions
{
    std::string manifestPath;
    std::uint64_t base{};
    PlatformOptions platform;
    /*! @brief Id of an earlier run that ended unsure; empty for a new submission. */
    std::string submission;
    std::string submitter;
    int timeoutSeconds{60};
};

/*! @brief What a command prints and ends with. */
struct CommandResult
{
    ExitCode code{};
    std::string text;

    friend bool operator==(const CommandResult &, const CommandResult &) = default;
};

/**
 * @brief Carries a submission through to its end, or until the attempts are used up.
 * @param request What is submitted.
 * @param port The platform.
 * @param random Source of jitter.
 * @param maxWait Longest time to spend on waits between attempts.
 * @return What to tell the operator.
 */
[[nodiscard]] CommandResult submit(const configuration::SubmissionRequest &request, PlatformPort &port, RandomSource &random, Duration maxWait);

/**
 * @brief Opens the platform.
 * @param options What the command line says.
 * @return The platform, or null after a line on standard error; needs an application object.
 */
[[nodiscard]] std::unique_ptr<PlatformPort> openPlatform(const PlatformOptions &options);

/**
 * @brief Runs `egretlatch submit`.
 * @param options What the command line says.
 * @param argc Count of the program's arguments.
 * @param argv The program's arguments.
 * @return An ExitCode.
 */
[[nodiscard]] int runSubmit(const SubmitOptions &options, int argc, char **argv);

} // namespace egretlatch::cli

#endif
