#ifndef EGRETLATCH_CLI_EXIT_CODE_HPP
#define EGRETLATCH_CLI_EXIT_CODE_HPP

namespace egretlatch::cli
{

/*! @brief Exit codes of the `egretlatch` program. */
enum ExitCode : int {
    success = 0,
    /*! @brief A port, a daemon or the platform is unavailable; nothing was changed. */
    unavailable = 1,
    /*! @brief The command line, the settings, the manifest or a token is invalid; nothing was changed. */
    badInput = 2,
    /*! @brief Another submission was accepted first. */
    conflict = 3,
    /*! @brief No such refusal exists. */
    notFound = 4,
    /*! @brief The platform did not confirm whether the submission was accepted. */
    unsure = 5,
    /*! @brief At least one daemon lags behind the newest configuration or did not answer. */
    lagging = 6,
};

} // namespace egretlatch::cli

#endif
