#ifndef EGRETLATCH_CLI_LOSSES_COMMAND_HPP
#define EGRETLATCH_CLI_LOSSES_COMMAND_HPP

#include <string>
#include <vector>

namespace egretlatch::cli
{

/*! @brief What the command line of `egretlatch losses` says. */
struct LossesOptions
{
    /*! @brief Paths of logs; `-` is standard input. */
    std::vector<std::string> logs;
    /*! @brief Length of the spans that are summed up, in seconds. */
    int seconds{2};
    bool isJson{};
};

/**
 * @brief Runs `egretlatch losses`.
 * @param options What the command line says.
 * @return An ExitCode.
 */
[[nodiscard]] int runLosses(const LossesOptions &options);

} // namespace egretlatch::cli

#endif
