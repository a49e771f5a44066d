#ifndef EGRETLATCH_CLI_EXPLAIN_COMMAND_HPP
#define EGRETLATCH_CLI_EXPLAIN_COMMAND_HPP

#include <optional>
#include <string>
#include <vector>

#include <egretlatch/account/account_batch.hpp>
#include <egretlatch/cli/submit_command.hpp>

namespace egretlatch::cli
{

/*! @brief What `egretlatch explain` is told. */
struct ExplainOptions
{
    /*! @brief Id of one refusal, or with logs the name of a request; empty to sum up. */
    std::string id;
    /*! @brief `service/kind`, or empty for all. */
    std::string kind;
    /*! @brief Start of the span, as 2026-12-02T22:00:00Z. */
    std::string since;
    /*! @brief End of the span; empty for now. */
    std::string until;
    bool isJson{};
    PlatformOptions platform;
    /*! @brief Daemons to ask for refusals that are not stored yet. */
    std::vector<std::string> daemons;
    std::string operatorTokenPath;
    /*! @brief Logs of daemons to read the story of a request from; `-` for standard input. */
    std::vector<std::string> logs;
};

/*! @brief A span of the account to sum up. */
struct RefusalQuery
{
    WallTime since;
    WallTime until;
    /*! @brief `service/kind`, or empty for all. */
    std::string kind;

    friend bool operator==(const RefusalQuery &, const RefusalQuery &) = default;
};

/**
 * @brief Tells of one refusal.
 * @param record The refusal.
 * @param isJson Whether an auditor reads it, or a member.
 * @return What to print.
 */
[[nodiscard]] CommandResult describeRefusal(const account::RefusalRecord &record, bool isJson);

/**
 * @brief Finds a refusal in the object store.
 * @param id Its id.
 * @param port The platform.
 * @param random Source of jitter.
 * @param isJson Whether an auditor reads it, or a member.
 * @return What to print; `notFound` if the account of that minute does not hold it.
 */
[[nodiscard]] CommandResult explainRefusal(const Uuid &id, PlatformPort &port, RandomSource &random, bool isJson);

/**
 * @brief Sums up a span of the account.
 * @param span The span.
 * @param port The platform.
 * @param random Source of jitter.
 * @return What to print, gaps of the account included.
 */
[[nodiscard]] CommandResult summarizeRefusals(const RefusalQuery &query, PlatformPort &port, RandomSource &random);

/**
 * @brief Runs `egretlatch explain`.
 * @param options What the command line says.
 * @param argc Count of the program's arguments.
 * @param argv The program's arguments.
 * @return An ExitCode.
 */
[[nodiscard]] int runExplain(const ExplainOptions &options, int argc, char **argv);

} // namespace egretlatch::cli

#endif
