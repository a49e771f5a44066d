#ifndef EGRETLATCH_CLI_EXIT_CODE_HPP
#define EGRETLATCH_CLI_EXIT_CODE_HPP

namespace egretlatch::cli
{

/*! @brief What the shipped program ends with. */
enum ExitCode : int {
    success = 0,
    /*! @brief Something outside could not be had: a port, a daemon, the platform. */
    unavailable = 1,
    /*! @brief The command line, the settings or the manifest are wrong; nothing was started. */
    badInput = 2,
    /*! @brief Another submission was accepted first. */
    conflict = 3,
    /*! @brief There is no such refusal. */
    notFound = 4,
};

} // namespace egretlatch::cli

#endif
