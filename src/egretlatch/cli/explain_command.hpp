#ifndef EGRETLATCH_CLI_EXPLAIN_COMMAND_HPP
#define EGRETLATCH_CLI_EXPLAIN_COMMAND_HPP

#include <optional>
#include <string>
#include <vector>

#include <egretlatch/account/account_batch.hpp>
#include <egretlatch/cli/submit_command.hpp>

namespace egretlatch::cli
{

/*! @brief Command-line options of `egretlatch explain`. */
struct ExplainOptions
{
    /*! @brief Id of one refusal or, if logs are given, the name of a request; empty to summarize a period. */
    std::string id;
    /*! @brief `service/kind`, or empty for all. */
    std::string kind;
    /*! @brief Start of the period, such as 2026-12-02T22:00:00Z. */
    std::string since;
    /*! @brief End of the period; empty for now. */
    std::string until;
    bool isJson{};
    PlatformOptions platform;
    /*! @brief Base URLs of daemons to query for refusals that are not stored yet. */
    std::vector<std::string> daemons;
    std::string operatorTokenPath;
    /*! @brief Paths of daemon logs from which to build the timeline of a request; `-` for standard input. */
    std::vector<std::string> logs;
};

/*! @brief Selects the stored refusals to summarize. */
struct RefusalQuery
{
    WallTime since;
    WallTime until;
    /*! @brief `service/kind`, or empty for all. */
    std::string kind;

    friend bool operator==(const RefusalQuery &, const RefusalQuery &) = default;
};

/**
 * @brief Describes one refusal.
 * @param record The refusal.
 * @param isJson True for all fields as JSON, for an auditor; false for a sentence, for a user.
 * @return The text to print.
 */
[[nodiscard]] CommandResult describeRefusal(const account::RefusalRecord &record, bool isJson);

/**
 * @brief Finds a refusal in the object store.
 * @param id Its id.
 * @param port The platform.
 * @param random Source of jitter.
 * @param isJson True for all fields as JSON, for an auditor; false for a sentence, for a user.
 * @return The text to print; `notFound` if the refusals stored for that minute do not contain it.
 */
[[nodiscard]] CommandResult explainRefusal(const Uuid &id, PlatformPort &port, RandomSource &random, bool isJson);

/**
 * @brief Counts the stored refusals that match a query by kind, reason and verdict.
 * @param query The refusals to count.
 * @param port The platform.
 * @param random Source of jitter.
 * @return The text to print, including gaps in the stored refusals.
 */
[[nodiscard]] CommandResult summarizeRefusals(const RefusalQuery &query, PlatformPort &port, RandomSource &random);

/**
 * @brief Runs `egretlatch explain`.
 * @param options The command-line options.
 * @param argc Count of the program's arguments.
 * @param argv The program's arguments.
 * @return An ExitCode.
 */
[[nodiscard]] int runExplain(const ExplainOptions &options, int argc, char **argv);

} // namespace egretlatch::cli

#endif
