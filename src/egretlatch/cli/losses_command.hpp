#ifndef EGRETLATCH_CLI_LOSSES_COMMAND_HPP
#define EGRETLATCH_CLI_LOSSES_COMMAND_HPP

#include <string>
#include <vector>

namespace egretlatch::cli
{

/*! @brief Command-line options of `egretlatch losses`. */
struct LossesOptions
{
    /*! @brief Paths of daemon logs; `-` for standard input. */
    std::vector<std::string> logs;
    /*! @brief Length of the intervals over which losses are summed, in seconds. */
    int seconds{2};
    bool isJson{};
};

/**
 * @brief Runs `egretlatch losses`.
 * @param options The command-line options.
 * @return An ExitCode.
 */
[[nodiscard]] int runLosses(const LossesOptions &options);

} // namespace egretlatch::cli

#endif
