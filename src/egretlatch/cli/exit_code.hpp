#ifndef EGRETLATCH_CLI_EXIT_CODE_HPP
#define EGRETLATCH_CLI_EXIT_CODE_HPP

namespace egretlatch::cli
{

/*! @brief What the shipped program ends with. */
enum ExitCode : int {
    success = 0,
    /*! @brief Something outside could not be had: a port, a daemon, the platform; nothing was changed. */
    unavailable = 1,
    /*! @brief The command line, the settings, the manifest or a token is wrong; nothing was changed. */
    badInput = 2,
    /*! @brief Another submission was accepted first. */
    conflict = 3,
    /*! @brief There is no such refusal. */
    notFound = 4,
    /*! @brief The platform did not say whether the submission was accepted. */
    unsure = 5,
    /*! @brief Some daemon lags behind the newest configuration, or gave no answer. */
    lagging = 6,
};

} // namespace egretlatch::cli

#endif
